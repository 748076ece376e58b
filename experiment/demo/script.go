package demo

import (
	"context"
	"fmt"
	"time"

	"dogwooddyke/standin"
	"dogwooddyke/transport/operator"
)

// Step is something that happens in the course of a run.
type Step struct {
	At   time.Duration // from the start of the traffic
	Name string
	Do   func(ctx context.Context, r *runner) error
}

// SmallScript has one of each: an engine killed, an instance drained, a catalogue change, connections silenced.
func SmallScript() []Step {
	return []Step{
		killEngine(3*time.Second, "isoraklet", 0, 4*time.Second),
		drainInstance(5*time.Second, 1),
		changeCatalogue(8 * time.Second),
		fault(10*time.Second, "dogwoodGye", 0, standin.Fault{Kind: standin.FaultSilence}),
	}
}

// OneEngineScript has one engine die and come back.
func OneEngineScript() []Step {
	return []Step{killEngine(20*time.Second, "isoraklet", 0, 10*time.Second)}
}

// FaultScript lets nearly everything fail in the course of a minute, some of it together.
func FaultScript() []Step {
	return []Step{
		killEngine(5*time.Second, "isoraklet", 0, 10*time.Second),
		logFault(8*time.Second, standin.Fault{Kind: standin.FaultDropAnswer, Value: 5}),
		fault(10*time.Second, "isportal", 0, standin.Fault{Kind: standin.FaultSilence}),
		fault(12*time.Second, "soundings", 0, standin.Fault{Kind: standin.FaultDropAnswer, Value: 20}),
		fault(15*time.Second, "isoraklet", 1, standin.Fault{Kind: standin.FaultDuplicate, Value: 2}),
		fault(17*time.Second, "isoraklet", 2, standin.Fault{Kind: standin.FaultLose, Value: 2}),
		fault(19*time.Second, "isoraklet", 3, standin.Fault{Kind: standin.FaultForeign, Value: 2}),
		fault(21*time.Second, "isoraklet", 4, standin.Fault{Kind: standin.FaultReorder, Value: 2}),
		drainInstance(24*time.Second, 1),
		changeCatalogue(27 * time.Second),
		logOutage(30*time.Second, 3*time.Second),
		killEngine(35*time.Second, "isportal", 1, 5*time.Second),
		fault(36*time.Second, "isoraklet", 5, standin.Fault{Kind: standin.FaultSilence}),
		killInstance(40*time.Second, 2),
		killEngine(45*time.Second, "soundings", 1, 3*time.Second),
		stallEngine(48*time.Second, "isoraklet", 6, 4*time.Second),
	}
}

// killEngine makes an endpoint die and come back without its state.
func killEngine(at time.Duration, entry string, number int, down time.Duration) Step {
	return timedFault(at, entry, number, standin.FaultDie, down)
}

// stallEngine makes an endpoint stop while its connections stay alive.
func stallEngine(at time.Duration, entry string, number int, span time.Duration) Step {
	return timedFault(at, entry, number, standin.FaultStall, span)
}

func timedFault(at time.Duration, entry string, number int, kind standin.FaultKind, span time.Duration) Step {
	return Step{at, fmt.Sprintf("%s of %s %d for %s", kind, entry, number, span), func(_ context.Context, r *runner) error {
		return r.faultAll(entry, number, standin.Fault{Kind: kind, Until: time.Now().Add(span)})
	}}
}

// fault brings a fault to one endpoint.
func fault(at time.Duration, entry string, number int, f standin.Fault) Step {
	return Step{at, fmt.Sprintf("%s at %s %d", f.Kind, entry, number), func(_ context.Context, r *runner) error {
		return r.faultAll(entry, number, f)
	}}
}

// faultAll brings a fault to one endpoint of the fleet and to its like behind the baseline.
func (r *runner) faultAll(entry string, number int, f standin.Fault) error {
	for _, b := range r.allEndpoints() {
		g, ok := b.find(entry)
		if !ok || number >= len(g.addresses) {
			return fmt.Errorf("no endpoint %d of %s", number, entry)
		}
		if err := g.endpoint(number).Fault(f); err != nil {
			return err
		}
	}
	return nil
}

func logFault(at time.Duration, f standin.Fault) Step {
	return Step{at, fmt.Sprintf("%s at the log", f.Kind), func(_ context.Context, r *runner) error {
		return r.fleet.site.log.Fault(f)
	}}
}

func logOutage(at, span time.Duration) Step {
	return Step{at, fmt.Sprintf("outage of the log for %s", span), func(_ context.Context, r *runner) error {
		return r.fleet.site.log.Fault(standin.Fault{Kind: standin.FaultOutage, Until: time.Now().Add(span)})
	}}
}

// drainInstance stops an instance as planned, in the background.
func drainInstance(at time.Duration, number int) Step {
	return Step{at, fmt.Sprintf("instance %d drained", number), func(ctx context.Context, r *runner) error {
		n := r.fleet.nodes[number]
		n.stopped.Store(true)
		r.background.Go(func() { r.drained(n.drain(ctx)) })
		return nil
	}}
}

// killInstance ends an instance without notice.
func killInstance(at time.Duration, number int) Step {
	return Step{at, fmt.Sprintf("instance %d killed", number), func(_ context.Context, r *runner) error {
		r.killed = true
		r.fleet.nodes[number].kill()
		return nil
	}}
}

// changeCatalogue publishes a change of the first entry and waits, in the background, for it to be in force everywhere.
func changeCatalogue(at time.Duration) Step {
	return Step{at, "catalogue change published", func(ctx context.Context, r *runner) error {
		e := r.fleet.endpoints.groups[0].entry()
		e.Limits.RequestsPerSecond = maximumRate
		revision, err := r.fleet.publisher.entry(ctx, e)
		if err != nil {
			return err
		}
		published := time.Now()
		r.background.Go(func() {
			err := r.fleet.await(ctx, published.Add(forceTimeout), func(s *operator.Status) bool { return s.CatalogueRevision >= revision })
			r.changed(time.Since(published), err)
		})
		return nil
	}}
}
