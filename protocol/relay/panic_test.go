package relay

import (
	"net/http"
	"net/netip"
	"testing"
	"testing/synctest"

	"dogwooddyke/state/memory"
	"dogwooddyke/state/route"
)

// panickingSink panics as net/http does when it is given a head that it does not write.
type panickingSink struct {
	recordingSink
	atHead bool
}

func (p *panickingSink) Begin(int, http.Header) error {
	if p.atHead {
		panic("invalid head")
	}
	return nil
}

func (p *panickingSink) Write([]byte) error { panic("invalid body") }

// A panic in the writer of an answer left its bytes counted in the memory budget for good, and its request without a line in the log.
func TestPanicOfWriterLeavesMemoryCounted(t *testing.T) {
	for _, c := range []struct {
		name          string
		kind          route.Kind
		atHead, fails bool
	}{
		{"head of a whole answer", route.KindOnce, true, false},
		{"body of a whole answer", route.KindOnce, false, false},
		{"head of a stream", route.KindStream, true, false},
		{"event of a stream", route.KindStream, false, false},
		{"head of an endpoint's failure", route.KindOnce, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFakeFleet(t, 1, 20)
				request := f.request(false)
				request.Route.Kind = c.kind
				if c.fails {
					f.fails = func(netip.AddrPort) bool { return true }
				}
				r := f.runner()
				r.Memory = memory.NewBudget(1 << 20)
				result := r.Run(t.Context(), request, &panickingSink{atHead: c.atHead})
				r.Wait()
				f.stopRuns()
				synctest.Wait()
				f.is.Equal(r.Memory.Used(), 0)
				f.is.Equal(result.Outcome, OutcomeInterrupted)
				f.is.Equal(result.Reason, ReasonInternal)
			})
		})
	}
}
