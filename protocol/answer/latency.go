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

// TokenLatency is the observed distribution of the waits for tokens; it is safe for concurrent use.
type TokenLatency struct {
	firstToken *latencyDistribution
	nextToken  *latencyDistribution
}

// latencyDistribution is one distribution of waits and the patience that follows from it.
type latencyDistribution struct {
	mutex         sync.Mutex
	histogram     *hdrhistogram.WindowedHistogram
	windowSamples int // observations in the current part
	samples       int
	timeout       time.Duration
	minimum       time.Duration
	maximum       time.Duration
}

func newLatencyDistribution(timeout, minimum, maximum time.Duration) *latencyDistribution {
	return &latencyDistribution{
		histogram: hdrhistogram.NewWindowed(histogramWindows, 1, maximum.Milliseconds(), histogramDigits),
		timeout:   timeout,
		minimum:   minimum,
		maximum:   maximum,
	}
}

// observe adds one wait.
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

func (d *latencyDistribution) updateTimeout() {
	latency := time.Duration(d.histogram.Merge().ValueAtQuantile(100*latencyQuantile)) * time.Millisecond
	d.timeout = min(max(timeoutFactor*latency, d.minimum), d.maximum)
}

// latency returns how long a stream may stay without a token.
func (d *latencyDistribution) currentTimeout() time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.timeout
}
