package soak

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// limitation is a limit that an engine named.
type limitation struct {
	engine    *standin.Engine
	perSecond float64
	began     time.Time
	ended     time.Time
}

// allowed returns how many requests the engine may get within limitWindow.
func (l *limitation) allowed() int { return int(1.5*l.perSecond*limitWindow.Seconds()) + 5 }

// limit has an engine name a limit for a while. The latest limit of an engine holds; an earlier one ends with it.
func (s *site) limit(ctx context.Context, p step) bool {
	e := s.any(p.target).engine
	rate := float64(p.target%(mostRate+1)) / 10
	l := &limitation{engine: e, perSecond: rate, began: time.Now()}
	s.ledger.limited(l)
	e.Limit(strconv.FormatFloat(rate, 'f', 1, 64))
	err := wait.For(ctx, p.last)
	if s.ledger.unlimited(l) {
		e.Limit("")
	}
	return err == nil
}

// limited records a limit, which ends the one that the engine has named before.
func (l *ledger) limited(added *limitation) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	for _, other := range l.limits {
		if other.engine == added.engine && other.ended.IsZero() {
			other.ended = added.began
		}
	}
	l.limits = append(l.limits, added)
}

// unlimited records the end of a limit, and reports whether it still held.
func (l *ledger) unlimited(ended *limitation) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if !ended.ended.IsZero() {
		return false
	}
	ended.ended = time.Now()
	return true
}

// judgeLimits lists the limits beyond which engines got requests.
func (l *ledger) judgeLimits(instances int) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	instanceOf := l.instances()
	var broken []string
	for _, limit := range l.limits {
		if most := mostWithin(l.counted(limit, limit.engine.Seen(), instanceOf, instances), limitWindow); most > limit.allowed() {
			broken = append(broken, fmt.Sprintf("over the limit: %d requests in %s at %s, %d allowed at %.1f a second, from %s to %s",
				most, limitWindow, limit.engine.ID, limit.allowed(), limit.perSecond, limit.began.Format("05.000"), limit.ended.Format("05.000")))
		}
	}
	return broken
}

// counted returns when an engine got the requests that count against its limit: those of all instances without a fault of their own, whether the engine
// has told them of its limit or not, from a while after the first request whose answer names it. Before that nobody can know.
func (l *ledger) counted(limit *limitation, all []standin.Seen, instanceOf map[string]int, instances int) []time.Time {
	var arrivals []time.Time
	named := time.Time{}
	for _, seen := range all {
		if named.IsZero() && seen.At.After(limit.began) {
			named = seen.At
		}
		instance, known := instanceOf[seen.Header.Get(standin.HeaderRequest)]
		counts := !named.IsZero() && seen.At.After(named.Add(limitLearning)) && (limit.ended.IsZero() || seen.At.Before(limit.ended))
		if counts && known && !l.processExcused(instance, instances, seen.At, limitExcuse) {
			arrivals = append(arrivals, seen.At)
		}
	}
	return arrivals
}

// processExcused reports whether a fault of its own process excuses what an instance sends, until a while after the fault.
func (l *ledger) processExcused(instance, instances int, at time.Time, after time.Duration) bool {
	for _, t := range l.troubles {
		switch t.step.kind {
		case kindKill, kindStop, kindFreeze:
			if t.step.target%instances == instance && at.After(t.began) && at.Before(t.ended.Add(after)) {
				return true
			}
		}
	}
	return false
}

// mostWithin returns the largest number of times, which are in order, that lie within one window.
func mostWithin(times []time.Time, window time.Duration) int {
	most, first := 0, 0
	for n, at := range times {
		for at.Sub(times[first]) > window {
			first++
		}
		most = max(most, n-first+1)
	}
	return most
}
