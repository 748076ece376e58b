package claim

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sourcegraph/conc"
	"pgregory.net/rapid"
)

// event is one thing that happens to the fleet at a time.
type event struct {
	after  time.Duration
	kind   string
	member int
	other  int
}

var eventKinds = []string{
	"ackLost", "lost", "refused", "late", "copied", // of the member's next append
	"look",      // the member holds the other to be the steward
	"cut",       // answers of others to the member are lost from now on
	"outage",    // the log refuses
	"lag",       // records can be read only some time after they were appended
	"restored",  // the log takes appends again, and reads are current
	"abandoned", // the member claims the key and gives it up before the dispatch
	"call", "call", "call", "call", "call",
}

func drawEvent(t *rapid.T) event {
	return event{
		after:  time.Duration(rapid.IntRange(0, 400).Draw(t, "after")) * time.Millisecond,
		kind:   rapid.SampledFrom(eventKinds).Draw(t, "kind"),
		member: rapid.IntRange(0, 2).Draw(t, "member"),
		other:  rapid.IntRange(0, 2).Draw(t, "other"),
	}
}

func (f *fleet) happen(t *testing.T, e event, group *conc.WaitGroup) {
	m := f.members[e.member]
	switch e.kind {
	case "look":
		m.set(e.other, false)
	case "cut":
		m.set(e.other, true)
	case "outage", "restored":
		f.log.setOutage(e.kind == "outage")
		f.log.setLag(0)
	case "lag":
		f.log.setLag(time.Second)
	case "call":
		group.Go(func() { _, _ = f.call(t, e.member, numbered("k", e.other), 8*time.Second) })
	case "abandoned":
		group.Go(func() {
			ctx, cancel := context.WithTimeout(t.Context(), 8*time.Second)
			defer cancel()
			key := NewKey("anglers", "soundings", numbered("k", e.other))
			grant, call, err := m.client.Claim(ctx, key, testBody, time.Time{})
			if err == nil && grant.State == StateGranted {
				m.client.Settle(Settlement{Key: key, Call: call, Abandoned: true})
			}
		})
	default:
		m.log.fault(e.kind)
	}
}

// TestFaultsTogether brings about random faults, takeovers and repeats, and counts the runs of each key.
func TestFaultsTogether(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		events := make([]event, rapid.IntRange(5, 60).Draw(r, "events"))
		for i := range events {
			events[i] = drawEvent(r)
		}
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			var group conc.WaitGroup
			for _, e := range events {
				time.Sleep(e.after)
				f.happen(t, e, &group)
			}
			f.log.setOutage(false)
			f.log.setLag(0)
			group.Wait()
			f.look(0)
			time.Sleep(time.Minute)
			for k := range 3 {
				f.checkKey(t, numbered("k", k))
			}
			f.close()
		})
	})
}

// checkKey asserts that a key ran at most once, and that a later repeat gets its result, or the key if it did not run: no
// instance died, so that each call's end reaches the log.
func (f *fleet) checkKey(t *testing.T, key string) {
	t.Helper()
	before := f.ran(key)
	if before > 1 {
		t.Errorf("key %s ran %d times", key, before)
	}
	grant, err := f.call(t, 1, key, 30*time.Second)
	if err != nil {
		t.Errorf("key %s: %v", key, err)
	}
	want := StateGranted
	if before == 1 {
		want = StateSettled
	}
	if grant.State != want {
		t.Errorf("key %s ran %d times, and a repeat is told %s", key, before, grant.State)
	}
	if f.ran(key) > 1 {
		t.Errorf("key %s ran again", key)
	}
}
