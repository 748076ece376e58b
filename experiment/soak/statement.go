package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// statements draws when engines say of themselves that they rest or leave, from a source of its own so that each seed keeps its other faults.
func statements(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x5a1d))
	var steps []step
	for at := between(random, quietLead, mostCalm/2); at < span-quietTail; at += between(random, leastCalm, mostCalm/2) {
		s := step{at: at, kind: kindRest, target: random.IntN(1 << 16), mode: modeSilence, last: between(random, leastStatement, mostStatement)}
		if random.IntN(2) == 0 {
			s.kind = kindSaidLeaving
		}
		steps = append(steps, s)
	}
	return steps
}

// state has an engine say for a while that it rests or that it leaves. The list of engines shows neither, and the engine does not end.
func (s *site) state(ctx context.Context, p step) bool {
	m := s.any(p.target)
	s.ledger.holds(m.serving, p.last)
	e := m.engine
	if p.kind == kindRest {
		e.Rest(http.StatusServiceUnavailable, p.last)
		return wait.For(ctx, p.last) == nil
	}
	e.Leave(true)
	defer e.Leave(false)
	return wait.For(ctx, p.last) == nil
}

// told is what an engine has said to one instance, in its answers.
type told struct {
	at        time.Time // of the first request that was answered so
	restUntil time.Time
	leaving   bool
}

// forbids reports whether a request of the instance should not have reached the engine.
func (t told) forbids(seen standin.Seen) bool {
	if t.leaving {
		return seen.Leaving && seen.At.After(t.at.Add(drainTime+statementLearning))
	}
	return seen.At.After(t.at.Add(statementLearning)) && seen.At.Before(t.restUntil)
}

// after returns what the engine has said once it has answered a request.
func (t told) after(seen standin.Seen) told {
	switch {
	case seen.Leaving == t.leaving && seen.RestUntil.Equal(t.restUntil):
		return t
	case seen.Leaving:
		return told{at: seen.At, leaving: true}
	default:
		return told{at: seen.At, restUntil: seen.RestUntil}
	}
}

// judgeStatements lists the requests that reached engines which had said to the same instance that they rest or leave.
func (l *ledger) judgeStatements(members []*member, instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	instanceOf := l.instances()
	var broken []string
	for _, m := range members {
		broken = append(broken, l.againstWord(m.engine.ID, m.engine.Seen(), instanceOf, instances)...)
	}
	return broken
}

// againstWord lists those among the requests that reached one engine.
func (l *ledger) againstWord(engine string, all []standin.Seen, instanceOf map[string]int, instances int) []string {
	var broken []string
	heard := make(map[int]told) // by instance
	for _, seen := range all {
		id := seen.Header.Get(standin.HeaderRequest)
		instance, known := instanceOf[id]
		if !known {
			continue
		}
		t := heard[instance]
		if t.forbids(seen) && !l.processExcused(instance, instances, seen.At, statementExcuse) && !l.linkExcused(t.at, seen.At) {
			broken = append(broken, fmt.Sprintf("sent against its word: %s to %s at %s, told at %s, leaving %t", id, engine, seen.At.Format("05.000"), t.at.Format("05.000"), t.leaving))
		}
		heard[instance] = t.after(seen)
	}
	return broken
}

// linkExcused reports whether the way to an engine was harmed between two times, so that answers may not have arrived.
func (l *ledger) linkExcused(from, to time.Time) bool {
	for _, t := range l.troubles {
		if t.step.kind == kindEngine && t.began.Before(to) && t.ended.Add(statementLearning).After(from) {
			return true
		}
	}
	return false
}
