package evacuation

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// silenceMargin is the factor on the time of the copies before, after which they are taken as done though nobody said so.
const silenceMargin = 1.4

// Participant is an instance with runs at the endpoint that leaves.
type Participant struct {
	Instance netip.AddrPort
	Memory   int // tokens that its runs there hold
}

// Link is what copies are made over.
type Link struct {
	TokenBytes    int
	BitsPerSecond float64 // per second
	Slowdown      float64 // times that a copy takes longer than within a data centre
}

// CopyTime is how long a copy of so many tokens takes.
func (l Link) CopyTime(tokens int) time.Duration {
	if l.BitsPerSecond <= 0 {
		return 0
	}
	seconds := float64(tokens) * float64(l.TokenBytes) * 8 / l.BitsPerSecond * max(l.Slowdown, 1)
	return time.Duration(seconds * float64(time.Second))
}

// Plan is when an instance's runs leave.
type Plan struct {
	Begin     time.Time // of the first copy, at the latest; earlier once those before have left
	LocalOnly bool      // there is only time for copies within the data centre
}

// Schedule plans the departure of an instance's runs. It answers the load pattern of an endpoint that is reclaimed with runs of
// several instances on it: when all begin at once, each run's last part waits behind the whole of all others, and none has moved
// before the endpoint is gone. So they go one after the other, in an order that each instance works out alike from the endpoint's
// name, each as soon as it hears that those before it have left. Who hears nothing begins when they must have left. Own are the
// tokens of the instance's runs, and ownBefore those of them that go before the one that the plan is for.
func Schedule(self netip.AddrPort, own, ownBefore int, parties []Participant, endpoint string, link Link, noticed, latest time.Time) Plan {
	before := ownBefore + TokensBefore(self, parties, endpoint)
	total := own
	for _, p := range parties {
		total += p.Memory
	}
	return Plan{
		Begin:     noticed.Add(time.Duration(silenceMargin * float64(link.CopyTime(before)))),
		LocalOnly: noticed.Add(link.CopyTime(total)).After(latest),
	}
}

// TokensBefore counts the tokens of the runs that leave the endpoint before an instance's own.
func TokensBefore(self netip.AddrPort, parties []Participant, endpoint string) int {
	before := 0
	mine := rank(self, endpoint)
	for _, p := range parties {
		if r := rank(p.Instance, endpoint); r < mine || r == mine && p.Instance.Compare(self) < 0 {
			before += p.Memory
		}
	}
	return before
}

func rank(instance netip.AddrPort, endpoint string) uint64 {
	raw, err := instance.MarshalBinary()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(append(raw, endpoint...))
}

// SortRuns sorts an instance's own runs: those that hold least go first, since more of them get away in the same time.
func SortRuns(runs []Run) {
	slices.SortFunc(runs, func(a, b Run) int { return cmp.Or(cmp.Compare(a.Memory, b.Memory), cmp.Compare(a.ID, b.ID)) })
}

// Run is one run at the endpoint.
type Run struct {
	ID     string
	Memory int // tokens
}
