package order

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"dogwooddyke/state/catalogue"
)

const longLease = 24 * time.Hour

// runWithFakeTime runs the body as a subtest in a synctest bubble.
func runWithFakeTime(t *testing.T, name string, body func(t *testing.T, is *is.I)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) { body(t, is.New(t)) })
	})
}

// runWithBothFenceModes runs the body against engines that check fencing numbers and engines that ignore them.
func runWithBothFenceModes(t *testing.T, name string, body func(t *testing.T, is *is.I, checksFence bool)) {
	for _, checksFence := range []bool{true, false} {
		runWithFakeTime(t, fmt.Sprintf("%s/checks=%t", name, checksFence), func(t *testing.T, is *is.I) { body(t, is, checksFence) })
	}
}

func TestRunner(t *testing.T) {
	runWithBothFenceModes(t, "rollingChangeUnderFaults", func(t *testing.T, _ *is.I, checksFence bool) {
		for seed := range uint64(8) {
			changeVersionUnderFaults(t, seed, checksFence)
		}
	})
	runWithBothFenceModes(t, "expiredLeaseSendsNothing", func(t *testing.T, is *is.I, checksFence bool) {
		f := newFleet(3, 0, checksFence)
		h := newLeaseholder(t, f, 100)
		defer h.stop()
		h.grantLease(10, 15*time.Second)
		time.Sleep(16 * time.Second)
		before := h.sentOrders()
		f.engine(0).crash()
		h.publish("2")
		time.Sleep(time.Minute)
		is.Equal(h.sentOrders(), before)
		is.True(!f.allServe("2"))
	})
	runWithBothFenceModes(t, "delayedOrderOfFormerLeaseholder", func(t *testing.T, is *is.I, checksFence bool) {
		f := newFleet(4, 1, checksFence)
		former, next := newLeaseholder(t, f, 100), newLeaseholder(t, f, 100)
		defer former.stop()
		defer next.stop()
		former.publish("2")
		f.engine(0).update(func() { f.engine(0).delay = 3 * time.Minute })
		former.grantLease(10, 15*time.Second)
		time.Sleep(20 * time.Second)
		f.engine(0).update(func() { f.engine(0).delay = 0 })
		next.publish("3")
		next.grantLease(20, longLease)
		time.Sleep(2 * time.Minute)
		is.True(f.allServe("3"))
		loads := f.engine(0).loadCount()
		time.Sleep(2 * time.Minute)
		is.True(f.allServe("3"))
		// An engine that ignores fencing numbers loads the weights of the delayed order and is then corrected.
		is.Equal(f.engine(0).loadCount() > loads, !checksFence)
	})
	runWithBothFenceModes(t, "twoConcurrentLeaseholders", func(t *testing.T, is *is.I, checksFence bool) {
		f := newFleet(4, 0, checksFence)
		former, next := newLeaseholder(t, f, 100), newLeaseholder(t, f, 100)
		defer former.stop()
		defer next.stop()
		former.publish("2")
		next.publish("3")
		former.grantLease(10, time.Minute)
		next.grantLease(20, longLease)
		time.Sleep(3 * time.Minute)
		is.True(f.allServe("3"))
	})
	runWithBothFenceModes(t, "leaseShorterThanTimeoutSendsNothing", func(t *testing.T, is *is.I, checksFence bool) {
		f := newFleet(3, 0, checksFence)
		h := newLeaseholder(t, f, 100)
		defer h.stop()
		h.publish("2")
		for fence := range uint64(20) {
			h.grantLease(fence+1, Timeout-time.Millisecond)
			time.Sleep(Timeout)
		}
		is.Equal(h.sentOrders(), 0)
	})
	runWithFakeTime(t, "staleCatalogueRevertsNothing", func(t *testing.T, is *is.I) {
		f := newFleet(3, 0, true)
		former, next := newLeaseholder(t, f, 100), newLeaseholder(t, f, 100)
		defer former.stop()
		defer next.stop()
		former.publish("2")
		former.grantLease(10, time.Minute)
		time.Sleep(time.Minute)
		is.True(f.allServe("2"))
		next.setFormerCatalogue(former.table.Offset())
		next.grantLease(20, longLease)
		time.Sleep(time.Minute)
		is.Equal(next.sentOrders(), 0)
		next.publish("3")
		time.Sleep(time.Minute)
		is.True(f.allServe("3"))
	})
	runWithFakeTime(t, "waitsForFormerLeaseholdersLastOrder", func(t *testing.T, is *is.I) {
		f := newFleet(3, 0, false)
		h := newLeaseholder(t, f, 100)
		defer h.stop()
		h.publish("2")
		h.grantLease(10, longLease)
		time.Sleep(Timeout - time.Millisecond)
		is.Equal(h.sentOrders(), 0)
		time.Sleep(2 * tickInterval)
		is.Equal(h.sentOrders(), 1)
	})
	runWithFakeTime(t, "weightStoreRateLimitsLoads", func(t *testing.T, is *is.I) {
		const perSecond = 0.1
		f := newFleet(9, 0, true)
		for i := range 9 {
			f.engine(i).crash()
		}
		h := newLeaseholder(t, f, perSecond)
		defer h.stop()
		h.grantLease(10, longLease)
		time.Sleep(2 * time.Minute)
		is.True(f.allServe("1"))
		var pulls []time.Time
		for i := range 9 {
			pulls = append(pulls, f.engine(i).pulls...)
		}
		slices.SortFunc(pulls, time.Time.Compare)
		is.Equal(len(pulls), 9)
		is.True(pulls[8].Sub(pulls[0]) >= 80*time.Second)
	})
	runWithFakeTime(t, "emptyEngineIsLoadedAgain", func(t *testing.T, is *is.I) {
		f := newFleet(9, 9, false)
		h := newLeaseholder(t, f, 100)
		defer h.stop()
		h.grantLease(10, longLease)
		time.Sleep(time.Minute)
		f.engine(4).crash()
		time.Sleep(SteadyIntervalMinimum + loadDuration + 2*time.Second)
		is.True(f.allServe("1"))
	})
	runWithFakeTime(t, "minimumReadyDefersChange", func(t *testing.T, is *is.I) {
		f := newFleet(4, 4, true)
		h := newLeaseholder(t, f, 100)
		defer h.stop()
		h.grantLease(10, longLease)
		h.publish("2")
		time.Sleep(10 * time.Minute)
		is.True(f.allServe("1"))
		is.Equal(h.Plans()["isoraklet"].Deferred, 4)
	})
}

// changeVersionUnderFaults changes the version while engines crash, become unreachable and carry out orders late, and another
// instance takes over the lease. It checks that orders alone never leave fewer engines serving than the minimum.
func changeVersionUnderFaults(t *testing.T, seed uint64, checksFence bool) {
	t.Helper()
	const engines, minimum = 9, 8
	random := rand.New(rand.NewPCG(seed, 7))
	f := newFleet(engines, minimum, checksFence)
	holders := []*leaseholder{newLeaseholder(t, f, 1), newLeaseholder(t, f, 1)}
	for _, h := range holders {
		defer h.stop()
		h.publish("2")
	}
	holders[0].grantLease(10, time.Minute)
	for step := range 6000 {
		if step == 700 {
			holders[1].grantLease(20, longLease)
		}
		if step < 3000 && random.IntN(150) == 0 {
			injectFault(f.engine(random.IntN(engines)), random)
		}
		time.Sleep(100 * time.Millisecond)
		if ready, faulty := f.serving(); ready+faulty < minimum {
			t.Fatalf("seed %d step %d: %d serve and %d are faulty; the minimum is %d", seed, step, ready, faulty, minimum)
		}
	}
	if !f.allServe("2") {
		t.Fatalf("seed %d: not all engines have version 2", seed)
	}
}

// injectFault injects a random fault into the engine: a crash, 20 s of unreachability, or 10 s in which orders are delayed.
func injectFault(e *engine, random *rand.Rand) {
	switch random.IntN(3) {
	case 0:
		e.crash()
	case 1:
		e.update(func() { e.unreachable = true })
		time.AfterFunc(20*time.Second, func() { e.update(func() { e.unreachable = false }) })
	case 2:
		e.update(func() { e.delay = time.Duration(5+random.IntN(40)) * time.Second })
		time.AfterFunc(10*time.Second, func() { e.update(func() { e.delay = 0 }) })
	}
}

// TestNewPlan checks the invariants of plans for random observations.
func TestNewPlan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &catalogue.Entry{
			Name: "x", Model: "m", Version: "2",
			MinimumReady: rapid.IntRange(1, 5).Draw(t, "minimum"), ChecksFence: rapid.Bool().Draw(t, "checks"),
		}
		var observations []Observation
		states := []EngineState{EngineReady, EngineReady, EngineReady, EngineReady, EngineLoading, EngineEmpty, EngineLeaving}
		for i := range rapid.IntRange(2, 8).Draw(t, "engines") {
			observations = append(observations, Observation{
				Endpoint:     catalogue.Endpoint{Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)},
				Answered:     rapid.IntRange(0, 9).Draw(t, "answered") > 0,
				Leaving:      rapid.IntRange(0, 9).Draw(t, "leaving") == 0,
				OrderPending: rapid.IntRange(0, 3).Draw(t, "awaited") == 0,
				Report: Report{
					Order: Order{
						Entry: "x", Model: "m", Version: rapid.SampledFrom([]string{"1", "1", "2"}).Draw(t, "version"),
						Fence: rapid.SampledFrom([]uint64{5, 5, 5, 5, 5, 5, 5, 4, 6}).Draw(t, "fence"),
					},
					State: rapid.SampledFrom(states).Draw(t, "state"),
				},
			})
		}
		pulls := rapid.IntRange(0, 4).Draw(t, "pulls")
		remaining := pulls
		plan := NewPlan(e, observations, 5, func(_ netip.AddrPort, pulls bool) bool {
			if pulls {
				remaining--
			}
			return !pulls || remaining >= 0
		})
		checkPlan(t, e, observations, plan, pulls)
	})
}

// checkPlan checks that a plan has orders only for engines that may get one, stays within the pull limit, and leaves the minimum of
// engines serving if that many served before.
func checkPlan(t *rapid.T, e *catalogue.Entry, observations []Observation, plan Plan, pulls int) {
	pulled := map[netip.AddrPort]bool{}
	for _, s := range plan.Steps {
		if s.Order.Fence != 5 {
			t.Fatalf("order with fence %d", s.Order.Fence)
		}
		if s.Pulls {
			pulled[s.Endpoint] = true
		}
	}
	if len(pulled) > pulls {
		t.Fatalf("%d pulls; %d are allowed", len(pulled), pulls)
	}
	before, after := 0, 0
	unfenced := slices.ContainsFunc(observations, func(s Observation) bool {
		return s.Answered && !s.Leaving && s.Report.State != EngineLeaving && s.Report.Fence < 5
	})
	for _, s := range observations {
		stopped := pulled[s.Endpoint.Address]
		if stopped && (!s.Answered || s.Leaving || s.Report.Fence > 5) {
			t.Fatalf("order for %+v", s)
		}
		if stopped && e.ChecksFence && unfenced && s.Report.State == EngineReady {
			t.Fatalf("%s is stopped while an engine takes older orders", s.Endpoint.Address)
		}
		serves := s.Answered && !s.Leaving && s.Report.State == EngineReady && (!s.OrderPending || s.Report.Version == "2")
		if serves {
			before++
		}
		if serves && !stopped {
			after++
		}
	}
	if after < before && after < e.MinimumReady {
		t.Fatalf("%d serve, %d after the orders; the minimum is %d", before, after, e.MinimumReady)
	}
}
