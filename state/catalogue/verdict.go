package catalogue

import "strings"

// Outcome is what the fold made of one change.
type Outcome string

// The outcomes of a change.
const (
	OutcomeAccepted   Outcome = "accepted"
	OutcomeRepeated   Outcome = "repeated"   // a change of this id was accepted before
	OutcomeConflict   Outcome = "conflict"   // based on a revision that is not the current one
	OutcomeStale      Outcome = "stale"      // prepared before the oldest id that is remembered, or after its own offset
	OutcomeNotOwner   Outcome = "notOwner"   // the operator does not own the subject
	OutcomeUnsigned   Outcome = "unsigned"   // the signature is not that of a known operator
	OutcomeInvalid    Outcome = "invalid"    // the content has faults
	OutcomeUnreadable Outcome = "unreadable" // the record does not decode
	OutcomeSnapshot   Outcome = "snapshot"   // the record is no change
)

// Verdict is the line that history keeps of one change.
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

// Refused tells whether the change had no effect and is not the repeat of one that had.
func (v Verdict) Refused() bool {
	switch v.Outcome {
	case OutcomeAccepted, OutcomeRepeated, OutcomeSnapshot:
		return false
	}
	return true
}

// clip shortens text from records that were refused, so that history stays bounded.
func clip(text string) string {
	if len(text) <= maximumReasonBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maximumReasonBytes], "")
}
