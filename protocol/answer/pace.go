package answer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TokenLatencies holds the observed pace of each entry's engines; the zero value is ready and safe for concurrent use.
type TokenLatencies struct {
	mutex   sync.Mutex
	entries map[string]*TokenLatency
}

// ForEntry returns the pace of an entry; entries over the bound share one.
func (p *TokenLatencies) ForEntry(entry string) *TokenLatency {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.entries == nil {
		p.entries = make(map[string]*TokenLatency)
	}
	if pace, known := p.entries[entry]; known {
		return pace
	}
	if len(p.entries) >= maximumPaces {
		entry = ""
	}
	pace, known := p.entries[entry]
	if !known {
		pace = &TokenLatency{
			first:   newSpread(firstDefault, firstMinimum, firstMaximum),
			between: newSpread(betweenDefault, betweenMinimum, betweenMaximum),
		}
		p.entries[entry] = pace
	}
	return pace
}

// TokenLatency is the observed distribution of the waits for tokens; it is safe for concurrent use.
type TokenLatency struct {
	first   *spread
	between *spread
}

// spread is one distribution of waits and the patience that follows from it.
type spread struct {
	mutex    sync.Mutex
	recent   *hdrhistogram.WindowedHistogram
	part     int // observations in the current part
	count    int
	patience time.Duration
	minimum  time.Duration
	maximum  time.Duration
}

func newSpread(patience, minimum, maximum time.Duration) *spread {
	return &spread{
		recent:   hdrhistogram.NewWindowed(paceParts, 1, maximum.Milliseconds(), paceDigits),
		patience: patience,
		minimum:  minimum,
		maximum:  maximum,
	}
}

// observe adds one wait.
func (s *spread) observe(wait time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	_ = s.recent.Current.RecordValue(min(max(wait, time.Millisecond), s.maximum).Milliseconds())
	s.count++
	s.part++
	if s.part >= paceWindow {
		s.recent.Rotate()
		s.part = 0
	}
	if s.count == paceMinimumCount || s.count%paceRefresh == 0 {
		s.refresh()
	}
}

func (s *spread) refresh() {
	typical := time.Duration(s.recent.Merge().ValueAtQuantile(100*paceQuantile)) * time.Millisecond
	s.patience = min(max(paceFactor*typical, s.minimum), s.maximum)
}

// wait returns how long a stream may stay without a token.
func (s *spread) wait() time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.patience
}
