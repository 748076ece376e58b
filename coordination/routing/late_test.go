package routing

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/length"
)

const (
	lateTick      = 5 * time.Millisecond
	lateWarmUp    = 20 * time.Second        // before the notice
	lateAnswers   = 7300 * time.Millisecond // from the notice until the answers must have ended
	lateAfter     = 3 * time.Second         // from the notice until a request counts as late
	lateRate      = 16.0                    // requests a second
	lateInstances = 3
	lateEngines   = 8
	lateSlots     = 64          // of an engine
	lateReport    = time.Second // between two reports of an instance to the others
	lateChunk     = 112.0       // prompt tokens that an engine processes in one step at most
	latePerMilli  = 14.0        // prompt tokens that it processes in a millisecond
)

// lateSpeeds are the speeds of the engines.
var lateSpeeds = [...]float64{0.55, 1.2, 1.2, 1.2}

// lateRun is a request at an engine.
type lateRun struct {
	owner   *Core
	request *Request
	short   bool
	prompt  float64 // tokens left
	output  int
	made    float64
	late    bool // it came late to the instance that is stopped
}

// lateEngine makes a token of each run in a step, which takes longer the more runs there are, and longer still while there are prompts.
type lateEngine struct {
	speed float64
	runs  []*lateRun
}

// lateFleet is the load of several instances on the same engines, the first of which is stopped.
type lateFleet struct {
	random  *rand.Rand
	cores   []*Core
	engines []*lateEngine
	waiting []*lateRun
	limit   func(output int, short bool) int // that the caller states
	closing time.Time

	came, taken, cut map[bool]int // late requests, by whether they are short
}

func newLateFleet(seed uint64, limit func(output int, short bool) int) *lateFleet {
	f := &lateFleet{random: rand.New(rand.NewPCG(seed, 7)), limit: limit}
	f.came, f.taken, f.cut = make(map[bool]int), make(map[bool]int), make(map[bool]int)
	entry := &catalogue.Entry{Name: "e", Kind: catalogue.KindEngine}
	for n := range lateEngines {
		f.engines = append(f.engines, &lateEngine{speed: lateSpeeds[n%len(lateSpeeds)]})
		entry.Endpoints = append(entry.Endpoints, catalogue.Endpoint{Address: address(n + 1)})
	}
	for n := range lateInstances {
		c := NewCore(Config{Self: address(200 + n), Instances: lateInstances, Random: rand.New(rand.NewPCG(seed, uint64(n)))})
		c.SetEntry(entry, time.Unix(1000, 0))
		f.cores = append(f.cores, c)
	}
	return f
}

// length draws a number of events from a log-normal distribution, and returns its tokens.
func (f *lateFleet) length(mean, spread, longest float64) int {
	variance := math.Log(1 + spread*spread)
	events := mean * math.Exp(f.random.NormFloat64()*math.Sqrt(variance)-variance/2)
	return 4 * int(math.Ceil(min(max(events, 1), longest)))
}

func (f *lateFleet) shortLength() int { return f.length(3.67, 0.89, 12.8) }

func (f *lateFleet) longLength() int { return f.length(232, 0.84, 549) }

// run plays a load with so many requests a second until the stop has ended.
func (f *lateFleet) run(perSecond float64) {
	begin := time.Unix(1000, 0)
	notice := begin.Add(lateWarmUp)
	f.closing = notice.Add(lateAnswers)
	next, report := begin, begin
	for now := begin; now.Before(f.closing); now = now.Add(lateTick) {
		for _, e := range f.engines {
			f.advance(e, now)
		}
		if !now.Before(report) {
			f.report(now)
			report = report.Add(lateReport)
		}
		for _, c := range f.cores {
			c.Tick(now)
		}
		if now.Equal(notice) {
			f.cores[0].SetClosing(f.closing)
		}
		for !next.After(now) {
			f.arrive(now, now.Sub(notice) >= lateAfter)
			next = next.Add(time.Duration(f.random.ExpFloat64() / perSecond * float64(time.Second)))
		}
		for _, c := range f.cores {
			c.Admit(now)
		}
		f.dispatch()
	}
	for _, e := range f.engines {
		for _, r := range e.runs {
			if r.late {
				f.cut[r.short]++
			}
		}
	}
}

// report sets at each instance what the others have in progress.
func (f *lateFleet) report(now time.Time) {
	for _, c := range f.cores {
		for n, e := range f.engines {
			load := PeerLoad{Endpoint: address(n + 1), Share: endpoint.Share{Slots: lateSlots / lateInstances, Memory: 1 << 20, Spread: 1, Until: now.Add(time.Hour)}}
			for _, r := range e.runs {
				if r.owner == c {
					continue
				}
				load.Runs++
				if r.prompt > 0 {
					load.Prompts++
					load.PromptTokens += int(r.prompt)
				}
			}
			c.SetShare(load.Endpoint, load.Share)
			c.SetPeerLoad(load, now)
		}
	}
}

func (f *lateFleet) arrive(now time.Time, late bool) {
	n := f.random.IntN(lateInstances)
	r := &lateRun{owner: f.cores[n], short: f.random.Float64() < 0.58, late: late && n == 0}
	class, target := "long", 1800*time.Millisecond
	if r.short {
		class, target = "short", 1500*time.Millisecond
		r.output = f.shortLength()
		r.prompt = float64(min(f.length(2200, 0.6, 6000)/4, 6000))
	} else {
		r.output = f.longLength()
		r.prompt = float64(min(f.length(3000, 0.35, 6000)/4, 6000))
	}
	r.request = r.owner.Submit(&RequestSpec{
		Entry: "e", Workspace: "w", Class: class, PromptTokens: int(r.prompt), MaximumTokens: f.limit(r.output, r.short),
		FirstTokenDeadline: now.Add(target), Deadline: now.Add(10 * time.Second),
	}, now)
	if r.late {
		f.came[r.short]++
	}
	f.waiting = append(f.waiting, r)
}

// dispatch has the engines take the requests that have been admitted.
func (f *lateFleet) dispatch() {
	waiting := f.waiting[:0]
	for _, r := range f.waiting {
		switch {
		case r.request.Refusal() != nil:
		case r.request.Running():
			for n, e := range f.engines {
				if r.request.Endpoint() == address(n+1) {
					e.runs = append(e.runs, r)
				}
			}
			if r.late {
				f.taken[r.short]++
			}
		default:
			waiting = append(waiting, r)
		}
	}
	f.waiting = waiting
}

// advance moves an engine's runs on by one tick.
func (f *lateFleet) advance(e *lateEngine, now time.Time) {
	decoding, prompts := 0, 0
	for _, r := range e.runs {
		if r.prompt > 0 {
			prompts++
		} else {
			decoding++
		}
	}
	step := 0.12 * float64(decoding)
	if decoding > 0 {
		step += 7
	}
	if prompts > 0 {
		step += lateChunk / latePerMilli
	}
	steps := float64(lateTick.Milliseconds()) * e.speed / max(step, 1)
	kept := e.runs[:0]
	for _, r := range e.runs {
		if r.prompt > 0 {
			r.prompt -= lateChunk * steps / float64(prompts)
			kept = append(kept, r)
			continue
		}
		before := int(r.made)
		r.made += steps
		for range min(int(r.made), r.output) - before {
			r.owner.RecordToken(r.request, now)
		}
		if int(r.made) < r.output {
			kept = append(kept, r)
			continue
		}
		r.owner.Release(r.request, OutcomeFinished, now)
	}
	clear(e.runs[len(kept):])
	e.runs = kept
}

// learn has the instances know the lengths of many answers.
func (f *lateFleet) learn() {
	for _, c := range f.cores {
		short := c.lengthTable.Groups(length.Key{Entry: "e", Class: "short", Workspace: "w"})
		long := c.lengthTable.Groups(length.Key{Entry: "e", Class: "long", Workspace: "w"})
		for range 1000 {
			for _, g := range []struct {
				groups *length.Groups
				tokens int
			}{{&short, f.shortLength()}, {&long, f.longLength()}} {
				g.groups.Emitted(-1, g.tokens)
				g.groups.Ended(g.tokens)
			}
		}
	}
}

// A request that came late to an instance that is being stopped was taken although it could not end in time, and cut. Another instance can serve it. Short
// ones are served all the same.
func TestLateRequestIsCut(t *testing.T) {
	const seeds = 20
	unknown := func(int, bool) int { return 0 }
	for _, c := range []struct {
		name   string
		limit  func(output int, short bool) int
		learnt bool // lengths are known
		serves bool // short requests
	}{
		{"exact limit", func(output int, _ bool) int { return output }, false, true},
		{"loose limit", func(_ int, short bool) int {
			if short {
				return 52
			}
			return 2196
		}, false, true},
		{"no limit, known lengths", unknown, true, true},
		{"no limit, unknown lengths", unknown, false, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			came, taken, cut := map[bool]int{}, map[bool]int{}, map[bool]int{}
			for seed := range uint64(seeds) {
				f := newLateFleet(seed, c.limit)
				if c.learnt {
					f.learn()
				}
				f.run(lateRate)
				for _, short := range []bool{true, false} {
					came[short] += f.came[short]
					taken[short] += f.taken[short]
					cut[short] += f.cut[short]
				}
			}
			t.Logf("short: came %d, taken %d, cut %d; long: came %d, taken %d, cut %d", came[true], taken[true], cut[true], came[false], taken[false], cut[false])
			is.Equal(cut[true], 0)
			is.Equal(cut[false], 0)
			is.True(!c.serves || 3*taken[true] > came[true])
		})
	}
}
