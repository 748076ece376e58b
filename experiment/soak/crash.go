package soak

import (
	"context"
	"fmt"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// cause is what crashes engines.
type cause string

const (
	causeNone    cause = ""
	causePart    cause = "a part of prompts"
	causeRequest cause = "a repeated request"
)

// allowedCrashes are the engines that may crash for a cause until it must be known.
var allowedCrashes = map[cause]int{causePart: 5, causeRequest: 3}

// arrival is a request at an engine that crashed under it.
type arrival struct {
	id string
	at time.Time
}

// crashes says which requests crash engines now.
type crashes struct {
	part    atomic.Bool // those with crashingPartID
	request atomic.Bool // reads of repeatedPath
}

// fatal describes the requests.
func (c *crashes) fatal() []standin.Fatal {
	var fatal []standin.Fatal
	if c.part.Load() {
		fatal = append(fatal, standin.Fatal{Part: crashingPartID})
	}
	if c.request.Load() {
		fatal = append(fatal, standin.Fatal{Target: repeatedPath})
	}
	return fatal
}

// crashOn has engines crash for a cause for a while; each is replaced.
func (s *site) crashOn(ctx context.Context, on *atomic.Bool, last time.Duration) bool {
	set := func(active bool) {
		s.mutex.Lock()
		defer s.mutex.Unlock()
		on.Store(active)
		s.engines.CrashOnAny(s.crashes.fatal(), func(e *standin.Engine, request string) {
			began := time.Now() // before the first run there is lost
			s.ledger.crashed(arrival{request, began})
			if m := s.takeEngine(e); m != nil {
				m.link.close() // before the engine's connections break, as nothing would listen there without the link
				s.pending.Go(func() { s.replace(ctx, m, began) })
			}
		})
	}
	set(true)
	defer set(false)
	return wait.For(ctx, last) == nil
}

// replace takes an engine that has crashed off the list after a while, and starts another in its place.
func (s *site) replace(ctx context.Context, m *member, began time.Time) {
	t := trouble{step: step{kind: kindCrash}, began: began}
	if wait.For(ctx, lapse) == nil {
		s.announce(m, 0)
		_ = s.add(m.service, m.engine.Version) // without a replacement the run has fewer engines
	}
	t.ended = time.Now()
	s.ledger.trouble(t)
}

// takeEngine removes an engine from those that serve; nil if it is not among them.
func (s *site) takeEngine(e *standin.Engine) *member {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	for n, m := range s.fleet {
		if m.engine == e {
			s.fleet = append(s.fleet[:n:n], s.fleet[n+1:]...)
			s.gone = append(s.gone, m)
			s.ledger.servesNoMore(m.serving)
			return m
		}
	}
	return nil
}

// crashed records that an engine has crashed under a request.
func (l *ledger) crashed(a arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.arrivals = append(l.arrivals, a)
}

// judgeCrashes returns what is wrong if requests that crash engines went on arriving there once these had crashed often enough. It counts those of
// instances without a fault of their own.
func (l *ledger) judgeCrashes(instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	records := make(map[string]*record, len(l.records))
	for n := range l.records {
		records[l.records[n].id] = &l.records[n]
	}
	byCause := make(map[cause][]arrival)
	for _, a := range l.arrivals {
		if r := records[a.id]; r != nil {
			byCause[r.crashing] = append(byCause[r.crashing], a)
		}
	}
	var broken []string
	for _, c := range []cause{causePart, causeRequest} {
		arrivals := byCause[c]
		if len(arrivals) < allowedCrashes[c] {
			continue
		}
		known := arrivals[allowedCrashes[c]-1].at.Add(crashLearning)
		late := 0
		for _, a := range arrivals {
			if a.at.After(known) && !l.processExcused(records[a.id].instance, instances, a.at, crashExcuse) {
				late++
			}
		}
		if late > moreArrivals {
			broken = append(broken, fmt.Sprintf("%s: %d engines crashed, %d requests arrived from %s on", c, len(arrivals), late, known.Format("05.000")))
		}
	}
	return broken
}
