package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// evacuation is an order to evacuate a data centre.
type evacuation struct {
	place string
	began time.Time // after the log has taken it
	ended time.Time // before it was withdrawn; zero: it holds
}

// evacuations draws the orders to evacuate data centres, from a source of their own so that each seed keeps its other faults.
func evacuations(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0xe7ac))
	var steps []step
	for at := between(random, quietLead, 2*quietLead); at < span-quietTail; at += leastEvacuation + between(random, leastCalm, mostCalm) {
		steps = append(steps, step{at: at, kind: kindEvacuate, target: random.IntN(1 << 16), mode: modeSilence, last: between(random, leastEvacuation, mostEvacuation)})
	}
	return steps
}

// evacuate orders a data centre to be evacuated for a while. Its engines are cold when the order is withdrawn.
func (s *site) evacuate(ctx context.Context, p step) bool {
	e := &evacuation{place: dataCentres[p.target%len(dataCentres)]}
	if !s.order(e) {
		return false
	}
	err := wait.For(ctx, p.last)
	s.withdraw(e)
	return err == nil
}

// order writes an order, and reports whether the data centre was not evacuated already. It waits while the log takes nothing.
func (s *site) order(e *evacuation) bool {
	s.away.Lock()
	defer s.away.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.evacuated[e.place] {
		return false
	}
	s.evacuated[e.place] = true
	s.writeOrder(e.place)
	e.began = time.Now()
	s.ledger.evacuated(e)
	return true
}

// withdraw withdraws an order, and cools the engines of its data centre.
func (s *site) withdraw(e *evacuation) {
	s.away.Lock()
	defer s.away.Unlock()
	s.mutex.Lock()
	defer s.mutex.Unlock()
	delete(s.evacuated, e.place)
	for _, m := range s.fleet {
		if m.place == e.place && m.service == serviceModel {
			m.engine.Cool(coldTime, coldRate)
			s.list(m)
		}
	}
	s.ledger.withdrawn(e)
	s.writeOrder(e.place)
}

// writeOrder writes what holds for a data centre; the caller holds the mutex.
func (s *site) writeOrder(place string) {
	var value []byte
	if s.evacuated[place] {
		value = []byte("{}")
	}
	s.log.Put(platform.TopicOperator, "evacuate/"+place, value)
}

// evacuated records an order.
func (l *ledger) evacuated(e *evacuation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.evacuations = append(l.evacuations, e)
}

// withdrawn records the end of an order.
func (l *ledger) withdrawn(e *evacuation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	e.ended = time.Now()
}

// judgeEvacuations lists the requests that were sent to evacuated data centres by instances without a fault of their own.
func (l *ledger) judgeEvacuations(members []*member, instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	instanceOf := l.instances()
	var broken []string
	for _, m := range members {
		if m.engine.Crashed() {
			broken = append(broken, fmt.Sprintf("crashed while cold: %s got more than %g requests a second", m.engine.ID, coldRate))
		}
		for _, seen := range m.engine.Seen() {
			id := seen.Header.Get(standin.HeaderRequest)
			instance, known := instanceOf[id]
			if known && l.isEvacuated(m.place, seen.At) && !l.processExcused(instance, instances, seen.At, evacuationTime) {
				broken = append(broken, fmt.Sprintf("sent to an evacuated data centre: %s to %s at %s", id, m.engine.ID, seen.At.Format("05.000")))
			}
		}
	}
	return broken
}

// isEvacuated reports whether an order had held for so long that nothing may be sent to a data centre any more.
func (l *ledger) isEvacuated(place string, at time.Time) bool {
	for _, e := range l.evacuations {
		if e.place == place && at.After(e.began.Add(evacuationTime)) && (e.ended.IsZero() || at.Before(e.ended)) {
			return true
		}
	}
	return false
}
