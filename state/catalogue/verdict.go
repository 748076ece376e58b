package catalogue

import "strings"

// Outcome is the result of folding one record.
type Outcome string

// The outcomes of a record.
const (
	OutcomeAccepted   Outcome = "accepted"
	OutcomeRepeated   Outcome = "repeated"   // the same change with this id was accepted before
	OutcomeConflict   Outcome = "conflict"   // the base is not the current revision, or the id belongs to another change
	OutcomeStale      Outcome = "stale"      // Seen is before the horizon, so that a repeat could not be recognised, or not before the change's own offset
	OutcomeNotOwner   Outcome = "notOwner"   // the operator does not own the subject
	OutcomeUnsigned   Outcome = "unsigned"   // the signature is not that of a known operator
	OutcomeInvalid    Outcome = "invalid"    // the content has faults or does not fit the rest of the catalogue
	OutcomeUnreadable Outcome = "unreadable" // the record does not decode
	OutcomeSnapshot   Outcome = "snapshot"   // the record is a snapshot, not a change
)

// Verdict describes one record and its outcome; the history holds the verdicts of accepted and refused changes.
type Verdict struct {
	Offset   uint64  `cbor:"offset" json:"offset"`
	Change   string  `cbor:"change" json:"change"`
	Operator string  `cbor:"operator" json:"operator"`
	Subject  Subject `cbor:"subject" json:"subject"`
	Removed  bool    `cbor:"removed,omitempty" json:"removed,omitempty"`
	Base     uint64  `cbor:"base" json:"base"`
	Outcome  Outcome `cbor:"outcome" json:"outcome"`
	Reason   string  `cbor:"reason,omitempty" json:"reason,omitempty"`
}

// Refused reports whether the change was refused; neither a repeat of an accepted change nor a snapshot counts as refused.
func (v Verdict) Refused() bool {
	switch v.Outcome {
	case OutcomeAccepted, OutcomeRepeated, OutcomeSnapshot:
		return false
	}
	return true
}

// truncate shortens text from a record to maximumReasonBytes, so that the size of the history stays bounded.
func truncate(text string) string {
	if len(text) <= maximumReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maximumReasonBytes], "")
}
