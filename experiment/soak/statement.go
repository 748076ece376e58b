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
	e := s.any(p.target).engine
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

// allowedUntil returns the time until which requests of the instance may still reach the engine, and the time from which they may again.
func (t told) allowedUntil() (from, to time.Time) {
	if t.leaving {
		return t.at.Add(drainTime + statementLearning), t.at.Add(time.Hour)
	}
	return t.at.Add(statementLearning), t.restUntil
}

// judgeStatements lists the requests that reached engines which had said to the same instance that they rest or leave.
func (l *ledger) judgeStatements(members []*member, instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	instanceOf := l.instances()
	var broken []string
	for _, m := range members {
		heard := make(map[int]told) // by instance
		for _, seen := range m.engine.Seen() {
			id := seen.Header.Get(standin.HeaderRequest)
			instance, known := instanceOf[id]
			if !known {
				continue
			}
			t, before := heard[instance]
			from, to := t.allowedUntil()
			late := before && seen.At.After(from) && seen.At.Before(to) && (!t.leaving || seen.Leaving)
			if late && !l.processExcused(instance, instances, seen.At, statementExcuse) && !l.linkExcused(t.at, seen.At) {
				broken = append(broken, fmt.Sprintf("sent against its word: %s to %s at %s, told at %s, leaving %t", id, m.engine.ID, seen.At.Format("05.000"), t.at.Format("05.000"), t.leaving))
			}
			switch {
			case seen.Leaving && !(before && t.leaving):
				heard[instance] = told{at: seen.At, leaving: true}
			case !seen.Leaving && seen.RestUntil.After(seen.At) && !(before && t.restUntil.Equal(seen.RestUntil)):
				heard[instance] = told{at: seen.At, restUntil: seen.RestUntil}
			case !seen.Leaving && before && t.leaving:
				delete(heard, instance)
			}
		}
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
