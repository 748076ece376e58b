package soak

import (
	"context"
	"fmt"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// arrival is a request with the part that engines crash on, at an engine that crashed.
type arrival struct {
	id string
	at time.Time
}

// crashOnPart has engines crash on a part of prompts for a while; each is replaced.
func (s *site) crashOnPart(ctx context.Context, p step) bool {
	s.engines.CrashOn(crashingPartID, func(e *standin.Engine, request string) {
		s.ledger.crashed(arrival{request, time.Now()})
		s.pending.Go(func() { s.replace(ctx, e) })
	})
	s.crashing.Store(true)
	err := wait.For(ctx, p.last)
	s.crashing.Store(false)
	s.engines.CrashOn("", nil)
	return err == nil
}

// replace takes an engine that has crashed off the list after a while, and starts another in its place.
func (s *site) replace(ctx context.Context, e *standin.Engine) {
	m := s.takeEngine(e)
	if m == nil {
		return
	}
	t := trouble{step: step{kind: kindCrash}, began: time.Now()}
	m.link.close()
	if wait.For(ctx, lapse) == nil {
		s.announce(m, 0)
		_ = s.add(serviceModel) // without a replacement the run has fewer engines
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
			return m
		}
	}
	return nil
}

// crashed records that an engine has crashed under a request with the part.
func (l *ledger) crashed(a arrival) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.crashes = append(l.crashes, a.at)
	l.arrivals = append(l.arrivals, a)
}

// judgeCrashes returns what is wrong if requests with the part went on arriving at engines once these had crashed often enough. It counts those of
// instances without a fault of their own.
func (l *ledger) judgeCrashes(instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.crashes) < allowedCrashes {
		return nil
	}
	instanceOf := make(map[string]int, len(l.records))
	for _, r := range l.records {
		instanceOf[r.id] = r.instance
	}
	known := l.crashes[allowedCrashes-1].Add(crashLearning)
	late := 0
	for _, a := range l.arrivals {
		if instance, found := instanceOf[a.id]; found && a.at.After(known) && !l.processExcused(instance, instances, a.at, crashExcuse) {
			late++
		}
	}
	if late <= moreArrivals {
		return nil
	}
	return []string{fmt.Sprintf("a part of prompts: %d engines crashed, %d requests with it arrived from %s on", len(l.crashes), late, known.Format("05.000"))}
}
