package endpoint

import "time"

// The states that an engine reports about itself.
const (
	StateReady   = "ready"
	StateLoading = "loading"
	StateEmpty   = "empty"
	StateLeaving = "leaving"
)

// Load is an engine's report about itself; it lags behind the state of the engine.
type Load struct {
	At             time.Time `cbor:"1,keyasint,omitzero" json:"at"`                            // time of the report
	Running        int       `cbor:"2,keyasint,omitzero" json:"running"`                       // generations in the batch
	Waiting        int       `cbor:"3,keyasint,omitzero" json:"waiting"`                       // generations queued inside the engine
	UsedTokens     int       `cbor:"4,keyasint,omitzero" json:"usedTokens"`                    // KV memory in use, in tokens
	CapacityTokens int       `cbor:"5,keyasint,omitzero" json:"capacityTokens"`                // KV memory in total, in tokens
	Preemptions    int       `cbor:"6,keyasint,omitzero" json:"preemptions"`                   // number of preemptions since the start of the engine
	State          string    `cbor:"7,keyasint,omitzero" json:"state"`                         // one of the State constants; empty: ready
	Model          string    `cbor:"8,keyasint,omitzero" json:"model,omitempty"`               // model that the engine serves
	Version        string    `cbor:"9,keyasint,omitzero" json:"version,omitempty"`             // version that the engine reports
	RateLimit      *float64  `cbor:"10,keyasint,omitempty" json:"requestsPerSecond,omitempty"` // requests per second that the engine takes from all instances together; nil: any number
}

// Ready reports whether the engine takes work; an engine that reports no state does.
func (l Load) Ready() bool { return l.State == StateReady || l.State == "" }
