package load

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// recorder gathers the results of a run.
type recorder struct {
	profile *Profile
	sent    atomic.Int64
	ended   atomic.Int64
	open    atomic.Int64
	skipped atomic.Int64
	bad     atomic.Int64

	mutex   sync.Mutex // guards all below
	mixes   map[*Mix]*tally
	samples []string
	records []Record
	worst   int // most open at once
}

// tally is what came of one mix.
type tally struct {
	sent       int
	repeats    int
	resumes    int
	outcomes   map[Outcome]int
	reasons    map[string]int
	text       Verdict
	firstToken *hdrhistogram.Histogram
	between    *hdrhistogram.Histogram
	stall      *hdrhistogram.Histogram
	total      *hdrhistogram.Histogram
}

func newRecorder(p *Profile) *recorder {
	r := &recorder{profile: p, mixes: make(map[*Mix]*tally, len(p.Mixes))}
	for i := range p.Mixes {
		r.mixes[&p.Mixes[i]] = newTally()
	}
	return r
}

func newTally() *tally {
	return &tally{
		outcomes:   make(map[Outcome]int),
		reasons:    make(map[string]int),
		firstToken: newHistogram(),
		between:    newHistogram(),
		stall:      newHistogram(),
		total:      newHistogram(),
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramLowest, histogramHighest, histogramDigits)
}

func record(h *hdrhistogram.Histogram, span time.Duration) {
	_ = h.RecordValue(min(max(span.Microseconds(), histogramLowest), histogramHighest)) // within the bounds, so never refused
}

func (r *recorder) started(m *Mix) {
	r.sent.Add(1)
	open := int(r.open.Add(1))
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.mixes[m].sent++
	r.worst = max(r.worst, open)
}

func (r *recorder) gaps(m *Mix, gaps []time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, g := range gaps {
		record(r.mixes[m].between, g)
	}
}

// finished takes the result of a request, of the first sending or of a repeat.
func (r *recorder) finished(result *Result) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	t := r.mixes[result.Request.Mix]
	t.outcomes[result.Outcome]++
	t.resumes += result.Resumes
	t.text.Add(result.Text)
	if result.Repeat {
		t.repeats++
	}
	if result.Outcome != OutcomeFinished {
		t.reason(result.Reason)
	}
	t.times(result)
	r.keep(result)
}

func (t *tally) times(result *Result) {
	if result.FirstToken > 0 {
		record(t.firstToken, result.FirstToken)
	}
	if result.Outcome != OutcomeFinished {
		return
	}
	record(t.total, result.Total)
	if result.Request.Mix.Kind == KindStream {
		record(t.stall, result.Stall)
	}
}

// reason counts a reason; the set is bounded, as a faulty peer could send any text.
func (t *tally) reason(text string) {
	if _, known := t.reasons[text]; !known && len(t.reasons) >= maximumReasons {
		text = "other"
	}
	t.reasons[text]++
}

func (r *recorder) keep(result *Result) {
	r.records = append(r.records, newRecord(result))
	if !result.Text.Wrong() && result.Outcome != OutcomeMalformed {
		return
	}
	r.bad.Add(1)
	if len(r.samples) < maximumSamples {
		r.samples = append(r.samples, describe(result))
	}
}
