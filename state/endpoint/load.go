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
	At             time.Time `json:"at"`
	Running        int       `json:"running"`        // generations in the batch
	Waiting        int       `json:"waiting"`        // generations queued inside the engine
	UsedTokens     int       `json:"usedTokens"`     // tokens in the engine's memory
	CapacityTokens int       `json:"capacityTokens"` // tokens that its memory holds
	Preemptions    int       `json:"preemptions"`    // since its start
	State          string    `json:"state"`
	Model          string    `json:"model,omitempty"`
	Version        string    `json:"version,omitempty"`
}

// Ready tells whether the engine takes work.
func (l Load) Ready() bool { return l.State == StateReady || l.State == "" }
