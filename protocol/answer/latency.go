package answer

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// TokenLatencies holds the observed token latencies of each entry's engines; the zero value is ready and safe for concurrent use.
type TokenLatencies struct {
	mutex   sync.Mutex
	entries map[string]*TokenLatency
}

// ForEntry returns the token latency of the entry; once maximumLatencyEntries have one, all further entries share one.
func (l *TokenLatencies) ForEntry(entry string) *TokenLatency {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if l.entries == nil {
		l.entries = make(map[string]*TokenLatency)
	}
	if latency, known := l.entries[entry]; known {
		return latency
	}
	if len(l.entries) >= maximumLatencyEntries {
		entry = ""
	}
	latency, known := l.entries[entry]
	if !known {
		latency = &TokenLatency{
			firstToken: newLatencyDistribution(defaultFirstTokenTimeout, minimumFirstTokenTimeout, maximumFirstTokenTimeout),
			nextToken:  newLatencyDistribution(defaultNextTokenTimeout, minimumNextTokenTimeout, maximumNextTokenTimeout),
		}
		l.entries[entry] = latency
	}
	return latency
}

// TokenLatency holds the observed latencies of one entry's engines; it is safe for concurrent use.
type TokenLatency struct {
	firstToken *latencyDistribution // from the dispatch to the first token
	nextToken  *latencyDistribution // between two tokens
}

// latencyDistribution is a distribution of latencies and the progress timeout that is computed from it.
type latencyDistribution struct {
	mutex         sync.Mutex
	histogram     *hdrhistogram.WindowedHistogram // latencies in milliseconds
	windowSamples int                             // latencies in the current window
	samples       int                             // latencies observed in total
	timeout       time.Duration                   // current progress timeout
	minimum       time.Duration                   // lower bound of the timeout
	maximum       time.Duration                   // upper bound of the timeout and of recorded latencies
}

// newLatencyDistribution returns an empty distribution with the timeout to use until enough latencies have been observed.
func newLatencyDistribution(timeout, minimum, maximum time.Duration) *latencyDistribution {
	return &latencyDistribution{
		histogram: hdrhistogram.NewWindowed(histogramWindows, 1, maximum.Milliseconds(), histogramDigits),
		timeout:   timeout,
		minimum:   minimum,
		maximum:   maximum,
	}
}

// observe adds one latency and recomputes the timeout from time to time.
func (d *latencyDistribution) observe(latency time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	_ = d.histogram.Current.RecordValue(min(max(latency, time.Millisecond), d.maximum).Milliseconds())
	d.samples++
	d.windowSamples++
	if d.windowSamples >= histogramWindowSamples {
		d.histogram.Rotate()
		d.windowSamples = 0
	}
	if d.samples == minimumLatencySamples || d.samples%timeoutRefreshSamples == 0 {
		d.updateTimeout()
	}
}

// updateTimeout sets the timeout to a multiple of the latency at latencyQuantile, within the distribution's bounds; the caller holds
// the mutex.
func (d *latencyDistribution) updateTimeout() {
	latency := time.Duration(d.histogram.Merge().ValueAtQuantile(100*latencyQuantile)) * time.Millisecond
	d.timeout = min(max(timeoutFactor*latency, d.minimum), d.maximum)
}

// currentTimeout returns how long a stream may deliver no token.
func (d *latencyDistribution) currentTimeout() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.timeout
}
