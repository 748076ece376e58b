package replica

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/member"
	"dogwooddyke/state/catalogue"
)

const (
	inForce = 11 * time.Second // the bound on a change's way to every instance
	settle  = 12 * time.Second
)

func TestFleet(t *testing.T) {
	t.Run("changesWithInstancesReplaced", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8)
			defer f.stop()
			time.Sleep(settle)
			random := rand.New(rand.NewPCG(5, 5))
			base := map[string]uint64{}
			published := map[uint64]time.Time{}
			next, worst := 8, time.Duration(0)
			for i := range 60 * 20 {
				name := fmt.Sprint("entry", random.IntN(8))
				base[name] = f.publish(name, base[name])
				published[base[name]] = time.Now()
				if i%100 == 50 {
					nodes := f.all()
					f.kill(nodes[random.IntN(len(nodes))], 10*time.Second)
					f.start(next, true)
					next++
				}
				time.Sleep(50 * time.Millisecond)
				worst = max(worst, oldest(f, published))
			}
			if worst > inForce {
				t.Fatalf("a change was in force everywhere only after %s", worst)
			}
			time.Sleep(settle)
			f.agree(60 * 20)
		})
	})
	t.Run("halfReplacedDuringAChange", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 8)
			defer f.stop()
			time.Sleep(settle)
			for i, n := range f.all()[:4] {
				f.kill(n, 10*time.Second)
				f.start(20+i, true)
			}
			last := f.publish("x", 0)
			time.Sleep(inForce)
			f.agree(last)
		})
	})
	t.Run("deadInnerNodesOfTheTree", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 60)
			defer f.stop()
			time.Sleep(settle)
			ranked := member.Ranked(catalogue.Stream, f.all()[0].Live())
			for _, place := range []int{0, 1, 3, 8} {
				f.kill(f.nodes[ranked[place]], time.Hour)
			}
			last := f.publish("x", 0)
			time.Sleep(100 * time.Millisecond)
			f.agree(last)
		})
	})
	t.Run("largeFleetByPushAlone", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 200)
			defer f.stop()
			time.Sleep(settle)
			last := f.publish("x", 0)
			time.Sleep(100 * time.Millisecond)
			f.agree(last)
		})
	})
}

// oldest returns the age of the oldest change that some instance older than the bound lacks, and forgets those in force.
func oldest(f *fleet, published map[uint64]time.Time) time.Duration {
	least := ^uint64(0)
	for _, n := range f.all() {
		if n.Ready() {
			least = min(least, n.table.Offset())
		}
	}
	age := time.Duration(0)
	for offset, at := range published {
		if offset <= least {
			delete(published, offset)
			continue
		}
		age = max(age, time.Since(at))
	}
	return age
}

func TestRecovery(t *testing.T) {
	t.Run("retentionPassesWhilePaused", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			defer f.stop()
			time.Sleep(settle)
			paused := f.all()[3]
			paused.link.Cut(true)
			paused.cut.Store(true)
			base := uint64(0)
			for range 20 {
				base = f.publish("x", base)
			}
			time.Sleep(settle)
			f.log.Retain(catalogue.Stream, f.log.Head(catalogue.Stream)+1)
			paused.link.Cut(false)
			time.Sleep(settle)
			if paused.Ready() || paused.State() != StateLost {
				t.Fatalf("past a gap without a snapshot: %s", paused.State())
			}
			snapshot, err := f.all()[0].table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			f.append(catalogue.Record{Snapshot: snapshot})
			last := f.publish("x", base)
			time.Sleep(settle)
			paused.cut.Store(false)
			f.agree(last)
		})
	})
	t.Run("gapClosedByPeers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 4)
			defer f.stop()
			time.Sleep(settle)
			cut := f.all()[3]
			cut.link.Cut(true)
			cut.cut.Store(true)
			f.publish("x", 0)
			last := f.publish("y", 0)
			time.Sleep(settle)
			f.log.Retain(catalogue.Stream, last+1)
			cut.link.Cut(false)
			cut.cut.Store(false)
			time.Sleep(settle)
			f.agree(last)
		})
	})
	t.Run("staleSnapshotAppendedLate", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			defer f.stop()
			first := f.publish("x", 0)
			time.Sleep(settle)
			stale, err := f.all()[0].table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			second := f.publish("x", first)
			time.Sleep(settle)
			fresh, err := f.all()[0].table.Snapshot()
			if err != nil {
				t.Fatal(err)
			}
			f.append(catalogue.Record{Snapshot: fresh})
			last := f.append(catalogue.Record{Snapshot: stale})
			f.log.Retain(catalogue.Stream, second+1)
			starter := f.start(7, true)
			time.Sleep(settle)
			f.agree(last)
			if got := starter.table.View().Revision; got != second {
				t.Fatalf("starter at revision %d, want %d", got, second)
			}
		})
	})
	t.Run("snapshotsBeforeRetentionEnds", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 8)
			defer f.stop()
			last := f.publish("x", 0)
			time.Sleep(8 * time.Hour)
			appended := f.log.Head(catalogue.Stream) - last
			is.True(appended >= 7 && appended <= 10)
			f.log.Retain(catalogue.Stream, last+appended)
			f.start(9, true)
			time.Sleep(settle)
			f.agree(last + appended)
		})
	})
}

func TestOutage(t *testing.T) {
	t.Run("startFromPeers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 3)
			defer f.stop()
			last := f.publish("x", 0)
			time.Sleep(settle)
			for _, n := range f.all() {
				n.link.Cut(true)
			}
			starter := f.start(5, false)
			time.Sleep(settle)
			f.agree(last)
			if starter.State() != StateOutage {
				t.Fatal(starter.State())
			}
		})
	})
	t.Run("notReadyWhenNeitherAnswers", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 1)
			defer f.stop()
			last := f.publish("x", 0)
			time.Sleep(settle)
			f.all()[0].cut.Store(true)
			starter := f.start(5, false)
			time.Sleep(time.Minute)
			is.Equal(starter.State(), StateStarting)
			is.True(!starter.Ready())
			starter.link.Cut(false)
			time.Sleep(settle)
			f.agree(last)
		})
	})
	t.Run("regionCutFromLogForAMinute", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f := newFleet(t, 9)
			defer f.stop()
			time.Sleep(settle)
			base := uint64(0)
			for i := range 60 {
				for _, n := range f.all()[:3] {
					n.link.Cut(i < 59)
				}
				base = f.publish("x", base)
				time.Sleep(time.Second)
			}
			time.Sleep(settle)
			f.agree(base)
		})
	})
	t.Run("logGoesBack", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 2)
			defer f.stop()
			f.publish("x", 0)
			last := f.publish("y", 0)
			time.Sleep(settle)
			kept := f.log.Replace(catalogue.Stream, nil)
			f.publish("z", 0)
			time.Sleep(2 * time.Minute)
			for range 3 {
				f.publish("z", 0)
			}
			time.Sleep(time.Minute)
			for _, n := range f.all() {
				is.Equal(n.State(), StateRegressed)
				is.Equal(n.table.View().Revision, last)
			}
			f.log.Replace(catalogue.Stream, kept)
			time.Sleep(time.Minute)
			for _, n := range f.all() {
				is.Equal(n.State(), StateFollowing)
			}
		})
	})
}
