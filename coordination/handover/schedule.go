package handover

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// copyTimeMargin multiplies the computed time of the preceding copies; after that time they count as done even without a report of it.
const copyTimeMargin = 1.4

// Participant is an instance that has runs at the leaving endpoint.
type Participant struct {
	Instance netip.AddrPort
	Memory   int // tokens of KV memory that the instance's runs hold at the endpoint
}

// Link describes the network link over which runs are copied.
type Link struct {
	TokenBytes    int     // size of the KV memory of one token, in bytes
	BitsPerSecond float64 // bandwidth of the link; 0 if unknown, in which case a copy counts as instant
	Slowdown      float64 // factor by which a copy takes longer than within a data centre; less than 1 counts as 1
}

// CopyTime returns how long a copy of the number of tokens takes.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.BitsPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(l.TokenBytes) * 8 / l.BitsPerSecond * max(l.Slowdown, 1)
	return time.Duration(seconds * float64(time.Second))
}

// Plan is when an instance copies a run, and whether it may copy it to another data centre.
type Plan struct {
	Begin     time.Time // latest start of the first copy; the copy starts earlier once the preceding runs have left
	LocalOnly bool      // the time until the deadline suffices only for copies within the data centre
}

// Schedule returns the plan for a run that an instance copies off the leaving endpoint. When an endpoint that holds runs of several
// instances is reclaimed and all copies begin at once, the last part of each run queues behind the complete copies of all others,
// and no run has moved before the endpoint is gone. The instances therefore copy one after the other, in an order that each of them
// computes identically from the instances' addresses and the endpoint's ID. An instance begins as soon as the preceding runs are
// reported to have left, or, without such a report, at the time by which they must have left. The tokens of all runs of the instance
// are ownTokens; ownTokensBefore counts those of its runs that precede the planned one.
func Schedule(self netip.AddrPort, ownTokens, ownTokensBefore int, others []Participant, endpointID string, link Link, noticed, deadline time.Time) Plan {
	before := ownTokensBefore + TokensBefore(self, others, endpointID)
	total := ownTokens
	for _, p := range others {
		total += p.Memory
	}
	return Plan{
		Begin:     noticed.Add(time.Duration(copyTimeMargin * float64(link.CopyTime(before)))),
		LocalOnly: noticed.Add(link.CopyTime(total)).After(deadline),
	}
}

// TokensBefore returns how many tokens of KV memory are copied off the endpoint before those of the instance self.
func TokensBefore(self netip.AddrPort, others []Participant, endpointID string) int {
	before := 0
	own := rank(self, endpointID)
	for _, p := range others {
		if r := rank(p.Instance, endpointID); r < own || r == own && p.Instance.Compare(self) < 0 {
			before += p.Memory
		}
	}
	return before
}

// rank returns the hash by which the instances are ordered; it depends on the endpoint, so that no instance is always the last.
func rank(instance netip.AddrPort, endpointID string) uint64 {
	raw, err := instance.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(append(raw, endpointID...))
}

// SortRuns sorts an instance's own runs by memory in ascending order, since more small runs than large ones can leave in the same time.
func SortRuns(runs []Run) {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.ID, b.ID)) })
}

// Run is one run at the leaving endpoint.
type Run struct {
	ID     string
	Memory int // tokens of KV memory that the run holds
}
