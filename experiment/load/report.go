package load

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Report is what came of a run.
type Report struct {
	Profile  string      `json:"profile"`
	Targets  []string    `json:"targets"`
	Rate     float64     `json:"rate"`
	Seconds  float64     `json:"seconds"`
	Seed     uint64      `json:"seed"`
	Started  time.Time   `json:"started"`
	Ended    time.Time   `json:"ended"`
	Sent     int         `json:"sent"`
	Skipped  int         `json:"skipped"`  // arrivals over the bound on open requests
	MostOpen int         `json:"mostOpen"` // requests in progress at once
	Outcomes []Count     `json:"outcomes"`
	Reasons  []Count     `json:"reasons"`
	Resumes  int         `json:"resumes"` // connections on which a caller went on with an answer
	Text     Verdict     `json:"text"`
	Mixes    []MixReport `json:"mixes"`
	Samples  []string    `json:"samples,omitempty"` // some of the wrong answers
}

// MixReport is what came of one mix.
type MixReport struct {
	Name          string  `json:"name"`
	Kind          Kind    `json:"kind"`
	Sent          int     `json:"sent"`
	Repeats       int     `json:"repeats"`
	Resumes       int     `json:"resumes"`
	Outcomes      []Count `json:"outcomes"`
	Reasons       []Count `json:"reasons"`
	Text          Verdict `json:"text"`
	FirstToken    Spread  `json:"firstToken"` // from when the request was due
	BetweenTokens Spread  `json:"betweenTokens"`
	Stall         Spread  `json:"stall"` // of each finished answer
	Total         Spread  `json:"total"` // of finished requests, from when they were due
}

// Count is how often something was seen.
type Count struct {
	Name  string `json:"name"`
	Count int    `json:"count"`
}

// Spread sums up a distribution of times.
type Spread struct {
	Count int64         `json:"count"`
	Mean  time.Duration `json:"meanNanoseconds"`
	P50   time.Duration `json:"p50Nanoseconds"`
	P95   time.Duration `json:"p95Nanoseconds"`
	P99   time.Duration `json:"p99Nanoseconds"`
	Most  time.Duration `json:"mostNanoseconds"`
}

// Count returns how many requests ended that way, repeats included.
func (r *Report) Count(o Outcome) int {
	return countOf(r.Outcomes, o)
}

// Whole returns how many requests finished, repeats included.
func (m *MixReport) Whole() int {
	return countOf(m.Outcomes, OutcomeFinished)
}

// Accepted returns how many requests were not refused before they ran, repeats included.
func (m *MixReport) Accepted() int {
	all := 0
	for _, c := range m.Outcomes {
		all += c.Count
	}
	return all - countOf(m.Outcomes, OutcomeNotRun) - countOf(m.Outcomes, OutcomeUnreached)
}

func countOf(counts []Count, o Outcome) int {
	for _, c := range counts {
		if c.Name == string(o) {
			return c.Count
		}
	}
	return 0
}

func newReport(o *Options, r *recorder, started time.Time) *Report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	report := &Report{
		Profile: o.Profile.Name, Targets: o.Targets, Rate: o.Rate, Seconds: o.Seconds, Seed: o.Seed,
		Started: started.UTC(), Ended: time.Now().UTC(),
		Skipped: int(r.skipped.Load()), MostOpen: r.worst, Samples: r.samples,
	}
	all := newTally()
	for i := range o.Profile.Mixes {
		m := &o.Profile.Mixes[i]
		all.merge(r.mixes[m])
		report.Mixes = append(report.Mixes, r.mixes[m].report(m))
	}
	report.Sent = all.sent
	report.Outcomes = byOutcome(all.outcomes)
	report.Reasons = byCount(all.reasons)
	report.Resumes = all.resumes
	report.Text = all.text
	return report
}

func (t *tally) merge(other *tally) {
	t.sent += other.sent
	t.resumes += other.resumes
	t.text.Add(other.text)
	for o, n := range other.outcomes {
		t.outcomes[o] += n
	}
	for reason, n := range other.reasons {
		t.reasons[reason] += n
	}
}

func (t *tally) report(m *Mix) MixReport {
	return MixReport{
		Name: m.Name, Kind: m.Kind, Sent: t.sent, Repeats: t.repeats, Resumes: t.resumes,
		Outcomes: byOutcome(t.outcomes), Reasons: byCount(t.reasons), Text: t.text,
		FirstToken: spread(t.firstToken), BetweenTokens: spread(t.between),
		Stall: spread(t.stall), Total: spread(t.total),
	}
}

func spread(h *hdrhistogram.Histogram) Spread {
	at := func(percentile float64) time.Duration {
		return time.Duration(h.ValueAtPercentile(percentile)) * time.Microsecond
	}
	return Spread{
		Count: h.TotalCount(),
		Mean:  time.Duration(h.Mean() * float64(time.Microsecond)),
		P50:   at(50), P95: at(95), P99: at(99), Most: at(100),
	}
}

func byOutcome(counts map[Outcome]int) []Count {
	var list []Count
	for _, o := range outcomes() {
		if counts[o] > 0 {
			list = append(list, Count{string(o), counts[o]})
		}
	}
	return list
}

func byCount(counts map[string]int) []Count {
	var list []Count
	for _, name := range slices.Sorted(maps.Keys(counts)) {
		list = append(list, Count{name, counts[name]})
	}
	slices.SortStableFunc(list, func(a, b Count) int { return cmp.Compare(b.Count, a.Count) })
	return list
}
