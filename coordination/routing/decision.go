package routing

import (
	"net/netip"
	"time"
)

// Candidate is one endpoint that was considered for a request.
type Candidate struct {
	Endpoint     netip.AddrPort `json:"endpoint"`
	Score        float64        `json:"score"`  // predicted seconds to the end
	Batch        int            `json:"batch"`  // generations in progress there, as estimated
	Memory       float64        `json:"memory"` // expected peak as a part of the share
	CachedTokens float64        `json:"saved"`  // prompt tokens expected in the cache
	Verdict      Verdict        `json:"verdict"`
}

// Verdict says how a candidate was judged.
type Verdict string

// The verdicts on a candidate.
const (
	VerdictFits     Verdict = "fits"
	VerdictExcluded Verdict = "excluded"
	VerdictLeaving  Verdict = "leaving"
	VerdictNotReady Verdict = "notReady"
	VerdictEjected  Verdict = "ejected"
	VerdictNoSlots  Verdict = "slots"
	VerdictNoMemory Verdict = "memory"
)

// note keeps a candidate for an explanation, if there is room.
func (d *Decision) addCandidate(candidate Candidate) {
	if len(d.Candidates) < maximumCandidates {
		d.Candidates = append(d.Candidates, candidate)
	}
}

// keep keeps the best candidate so far, in the place of the latest one if there is no room.
func (d *Decision) includeBest(candidate Candidate) {
	if last := len(d.Candidates) - 1; d.Candidates[last].Endpoint != candidate.Endpoint {
		d.Candidates[last] = candidate
	}
}

// Chosen gives the candidate that the request went to; it is empty where none was judged.
func (d *Decision) Chosen() Candidate {
	for _, c := range d.Candidates {
		if c.Endpoint == d.Endpoint {
			return c
		}
	}
	return Candidate{Endpoint: d.Endpoint}
}

// Decision tells how a request was decided.
type Decision struct {
	ID             string         `json:"id"`
	Entry          string         `json:"entry"`
	Workspace      string         `json:"workspace"`
	Endpoint       netip.AddrPort `json:"endpoint"`
	Reason         string         `json:"reason"`
	Candidates     []Candidate    `json:"candidates"`
	Submitted      time.Time      `json:"submitted"`
	Decided        time.Time      `json:"decided"`
	Ahead          int            `json:"ahead"`    // requests in the queue before it at submission
	ExpectedStart  time.Time      `json:"expected"` // start, as foreseen at submission
	ExpectedTokens float64        `json:"length"`   // mean tokens expected
}
