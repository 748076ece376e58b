package endpoint

import "time"

// The states that an engine reports.
const (
	StateReady   = "ready"
	StateLoading = "loading"
	StateEmpty   = "empty"
	StateLeaving = "leaving"
)

// Load is an engine's report on itself; it lags.
type Load struct {
	At             time.Time `cbor:"1,keyasint,omitzero" json:"at"`
	Running        int       `cbor:"2,keyasint,omitzero" json:"running"`        // generations in the batch
	Waiting        int       `cbor:"3,keyasint,omitzero" json:"waiting"`        // generations queued inside the engine
	UsedTokens     int       `cbor:"4,keyasint,omitzero" json:"usedTokens"`     // tokens in the engine's memory
	CapacityTokens int       `cbor:"5,keyasint,omitzero" json:"capacityTokens"` // tokens that its memory holds
	Preemptions    int       `cbor:"6,keyasint,omitzero" json:"preemptions"`    // since its start
	State          string    `cbor:"7,keyasint,omitzero" json:"state"`
	Model          string    `cbor:"8,keyasint,omitzero" json:"model,omitempty"`
	Version        string    `cbor:"9,keyasint,omitzero" json:"version,omitempty"`
}

// Ready tells whether the engine takes work.
func (l Load) Ready() bool { return l.State == StateReady || l.State == "" }
