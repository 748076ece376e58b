package soak

import (
	"fmt"
	"sync"
	"time"
)

// outcome is how a request ended for its caller.
type outcome string

const (
	outcomeServed  outcome = "served"
	outcomeRefused outcome = "refused" // the answer says that it was not run
	outcomeUnknown outcome = "unknown" // the answer says nothing of that
	outcomeBroken  outcome = "broken"  // no whole answer
	outcomeWrong   outcome = "wrong"   // an answer that is not the engine's
	outcomeLeft    outcome = "left"    // the caller left
)

// record is one request as its caller saw it.
type record struct {
	id       string
	route    string
	instance int
	began    time.Time
	whole    time.Time // when its last byte was sent; zero: it was not
	ended    time.Time
	outcome  outcome
	why      string
	crashing cause // why engines crash under it
	slow     bool  // its caller read slowly, and so saw its end late

	resumes  string   // request that brought the first event of the stream which it takes up; empty: it takes up none
	versions []string // that have made the stream's events, over all of its tries
	hasEvent bool     // it has brought an event
}

// trouble is a fault as it happened.
type trouble struct {
	step  step
	began time.Time
	ended time.Time
}

// ledger is what happened; it is safe for concurrent use.
type ledger struct {
	mutex    sync.Mutex
	records  []record
	troubles []trouble
	limits   []*limitation
	arrivals []arrival // of requests that crash engines, at engines

	evacuations []*evacuation
	servings    []*serving
	planned     bool // judgeLosses judges what has no whole answer
}

func (l *ledger) record(r record) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.records = append(l.records, r)
}

func (l *ledger) trouble(t trouble) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.troubles = append(l.troubles, t)
}

// runs is what engines did with each request.
type runs interface {
	// Ran returns how often they began to work on it.
	Ran(id string) int
	// Spoilt reports whether one sent other bytes in place of its answer.
	Spoilt(id string) bool
}

// judge lists the promises that were broken.
func (l *ledger) judge(instances int, all runs) []string {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var broken []string
	for _, r := range l.records {
		if fault := l.fault(r, instances, all); fault != "" {
			broken = append(broken, fmt.Sprintf("%s: %s of %s at instance %d, %s to %s, ran %d times, %s", fault, r.id, r.route, r.instance,
				r.began.Format("05.000"), r.ended.Format("05.000"), all.Ran(r.id), r.why))
		}
	}
	return broken
}

// fault names the promise that a request's end breaks; empty if none.
func (l *ledger) fault(r record, instances int, all runs) string {
	ran := all.Ran(r.id)
	once := r.route != routeRead && r.route != routeShort
	switch {
	case once && ran > 1:
		return "run twice"
	case r.outcome == outcomeWrong:
		return "wrong answer"
	case r.outcome == outcomeRefused && ran > 0:
		return "said not to have run"
	case !l.planned && (r.outcome == outcomeBroken || r.outcome == outcomeUnknown) && ran > 0 && r.crashing == causeNone && !all.Spoilt(r.id) && !l.excused(r, instances) && !l.isStranded(r):
		return "not answered"
	}
	return ""
}

// excused tells whether a fault explains that a request which an engine ran has no whole answer: its instance died or stood still,
// or an engine failed without notice. An engine's notice, a stop with time to end, and the log's troubles explain nothing.
func (l *ledger) excused(r record, instances int) bool {
	for _, t := range l.troubles {
		own := t.step.target%instances == r.instance
		switch t.step.kind {
		case kindKill, kindFreeze:
			if own && r.began.Before(t.ended) && r.ended.After(t.began) {
				return true
			}
		case kindCrash, kindEngine:
			if r.began.Before(t.ended.Add(engineMargin)) && r.ended.After(t.began) {
				return true
			}
		}
	}
	return false
}

// instances returns the instance that each request was sent to, by its id; the caller holds the mutex.
func (l *ledger) instances() map[string]int {
	instances := make(map[string]int, len(l.records))
	for _, r := range l.records {
		instances[r.id] = r.instance
	}
	return instances
}

// counts adds up the outcomes of each route.
func (l *ledger) counts() map[string]map[outcome]int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	counts := make(map[string]map[outcome]int)
	for _, r := range l.records {
		if counts[r.route] == nil {
			counts[r.route] = make(map[outcome]int)
		}
		counts[r.route][r.outcome]++
	}
	return counts
}
