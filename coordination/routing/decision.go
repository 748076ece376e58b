package routing

import (
	"net/netip"
	"time"
)

// Candidate is an endpoint that was considered for a request.
type Candidate struct {
	Endpoint     netip.AddrPort `json:"endpoint"`
	Score        float64        `json:"score"`  // predicted seconds until the end of the request; the lowest wins
	Batch        int            `json:"batch"`  // estimated runs in progress on the endpoint
	Memory       float64        `json:"memory"` // predicted peak as a fraction of the memory share
	CachedTokens float64        `json:"saved"`  // prompt tokens expected in the endpoint's cache
	FirstToken   time.Duration  `json:"first"`  // predicted time until the first token; of an endpoint that fits
	Verdict      Verdict        `json:"verdict"`
}

// Verdict says whether an endpoint fits a request and, if not, why.
type Verdict string

// The verdicts on a candidate: whether it fits, or which condition it fails.
const (
	VerdictFits        Verdict = "fits"
	VerdictExcluded    Verdict = "excluded"
	VerdictVersion     Verdict = "version" // the endpoint is of another version than the request needs
	VerdictLeaving     Verdict = "leaving"
	VerdictNotReady    Verdict = "notReady"
	VerdictEjected     Verdict = "ejected"
	VerdictRateLimited Verdict = "rateLimited" // the endpoint limits the rate of requests, and there is no permit
	VerdictResting     Verdict = "resting"     // the endpoint has asked for rest
	VerdictClosing     Verdict = "closing"     // the answer is not likely to end there before the instance closes
	VerdictNoSlots     Verdict = "slots"
	VerdictNoMemory    Verdict = "memory"
)

// addCandidate adds a candidate unless maximumCandidates are kept already.
func (d *Decision) addCandidate(candidate Candidate) {
	if len(d.Candidates) < maximumCandidates {
		d.Candidates = append(d.Candidates, candidate)
	}
}

// includeBest makes sure that the best candidate so far is kept: it replaces the last one if addCandidate found no room for it.
func (d *Decision) includeBest(candidate Candidate) {
	if last := len(d.Candidates) - 1; d.Candidates[last].Endpoint != candidate.Endpoint {
		d.Candidates[last] = candidate
	}
}

// Chosen returns the candidate that the request was admitted to; only its Endpoint is set if that candidate was not kept.
func (d *Decision) Chosen() Candidate {
	for _, c := range d.Candidates {
		if c.Endpoint == d.Endpoint {
			return c
		}
	}
	return Candidate{Endpoint: d.Endpoint}
}

// Decision records how a request was admitted or refused.
type Decision struct {
	ID             string         `json:"id"`
	Entry          string         `json:"entry"`
	Workspace      string         `json:"workspace"`
	Endpoint       netip.AddrPort `json:"endpoint"`
	Reason         string         `json:"reason"` // reason of the refusal, or "admitted"
	Candidates     []Candidate    `json:"candidates"`
	Submitted      time.Time      `json:"submitted"`
	Decided        time.Time      `json:"decided"`
	Ahead          int            `json:"ahead"`    // queued requests expected to be served first, at submission
	ExpectedStart  time.Time      `json:"expected"` // predicted at submission
	ExpectedTokens float64        `json:"length"`   // mean number of output tokens expected at submission
}
