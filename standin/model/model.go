package model

import (
	"errors"
	"slices"
	"time"
)

// ErrTooLarge reports a generation whose prompt and output do not fit into the memory.
var ErrTooLarge = errors.New("generation exceeds the KV memory")

// ErrFull reports that too many generations wait.
var ErrFull = errors.New("waiting queue is full")

// Counters sums up what a model has done since it was made.
type Counters struct {
	Started       int
	Finished      int
	Cancelled     int
	Preemptions   int
	Steps         int
	Tokens        int           // emitted
	PrefillTokens int           // processed, repeats included
	CachedTokens  int           // of prompts, not processed thanks to the prefix cache
	StallTime     time.Duration // sum over generations, from each preemption to the next token
}

// Model is one engine; it is not safe for concurrent use.
type Model struct {
	config   Config
	waiting  queue
	running  []*Generation
	used     int // tokens
	arrivals uint64
	ends     time.Time // of the present step; zero when idle
	paused   time.Time // no step ends before it
	cache    *cache
	history  history
	counters Counters
	events   []Event

	rateLimit *float64 // requests per second; nil: none
}

// New makes an idle model; now is the time of its first load report.
func New(config Config, now time.Time) *Model {
	m := &Model{config: config.withDefaults()}
	m.cache = newCache(&m.config)
	m.history.samples = []Load{m.Truth(now)}
	return m
}

// Config returns the model's sizes, defaults filled in.
func (m *Model) Config() Config { return m.config }

// Start queues a generation; it returns an error that wraps ErrTooLarge or ErrFull when the model can't take it.
func (m *Model) Start(g *Generation, now time.Time) error {
	if g.Prompt+max(g.Length, 1) > m.config.Capacity {
		return ErrTooLarge
	}
	if len(m.waiting) >= m.config.Waiting {
		return ErrFull
	}
	m.arrivals++
	g.arrival = m.arrivals
	g.Length = max(g.Length, 1)
	m.waiting.add(g)
	m.counters.Started++
	if m.ends.IsZero() {
		m.begin(now)
	}
	m.record(now)
	return nil
}

// Cancel removes a generation and reports whether it was waiting or running.
func (m *Model) Cancel(g *Generation, now time.Time) bool {
	switch g.phase {
	case phaseWaiting:
		m.waiting.remove(g)
	case phaseRunning:
		m.running = slices.DeleteFunc(m.running, func(other *Generation) bool { return other == g })
		m.used -= g.held()
	default:
		return false
	}
	g.phase = phaseEnded
	m.counters.Cancelled++
	m.record(now)
	return true
}

// Next returns the end of the present step; false when the model is idle.
func (m *Model) Next() (time.Time, bool) {
	if m.ends.Before(m.paused) && !m.ends.IsZero() {
		return m.paused, true
	}
	return m.ends, !m.ends.IsZero()
}

// Step completes all steps that end by now and returns what happened, in order; the slice is valid until the next call.
func (m *Model) Step(now time.Time) []Event {
	m.events = m.events[:0]
	for {
		at, busy := m.Next()
		if !busy || at.After(now) {
			return m.events
		}
		m.finish(at)
		m.begin(at)
		m.record(at)
	}
}

// Pause holds the steps back until the time; of several pauses the longest counts.
func (m *Model) Pause(until time.Time) {
	if until.After(m.paused) {
		m.paused = until
	}
}

// Resume ends a pause early; a step that would have ended in the pause ends now.
func (m *Model) Resume(now time.Time) { m.paused = now }

// SetSpeed changes the speed factor from the next step on.
func (m *Model) SetSpeed(speed float64) { m.config.Speed = speed }

// SetRateLimit has the load reports name a limit on the requests per second, or none if it is nil. The model itself takes each request.
func (m *Model) SetRateLimit(perSecond *float64, now time.Time) {
	m.rateLimit = perSecond
	m.record(now)
}

// SetLag changes the age of the loads and of the cache events that are told.
func (m *Model) SetLag(load, events time.Duration) {
	m.config.LoadLag = load
	m.config.CacheDelay = events
}

// Load returns the load as it was LoadLag ago.
func (m *Model) Load(now time.Time) Load {
	return m.history.samples[m.history.find(now.Add(-m.config.LoadLag))]
}

// Truth returns the load without lag.
func (m *Model) Truth(now time.Time) Load {
	return Load{
		At:             now,
		Running:        len(m.running),
		Waiting:        len(m.waiting),
		UsedTokens:     m.used,
		CapacityTokens: m.config.Capacity,
		Preemptions:    m.counters.Preemptions,
		RateLimit:      m.rateLimit,
	}
}

// Remaining returns the tokens that the generations waiting and running have yet to emit.
func (m *Model) Remaining() int {
	total := 0
	for _, g := range m.running {
		total += g.Length - g.emitted
	}
	for _, g := range m.waiting {
		total += g.Length - g.emitted
	}
	return total
}

// CacheEvents returns the events after the sequence number that are old enough to be told.
func (m *Model) CacheEvents(after uint64, now time.Time) []CacheEvent {
	return m.cache.since(after, now.Add(-m.config.CacheDelay))
}

// Counters returns what the model has done so far.
func (m *Model) Counters() Counters { return m.counters }

func (m *Model) record(now time.Time) { m.history.record(m.Truth(now), m.config.LoadLag) }
