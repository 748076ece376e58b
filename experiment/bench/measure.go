package bench

import (
	"math"
	"time"
)

// intervals is a histogram of durations with buckets of one percent.
type intervals struct {
	counts [intervalBuckets]int
	total  int
}

func (h *intervals) add(d time.Duration) {
	bucket := 0
	if d > leastInterval {
		bucket = int(math.Log(float64(d)/float64(leastInterval)) / math.Log(bucketGrowth))
	}
	h.counts[min(bucket, intervalBuckets-1)]++
	h.total++
}

func (h *intervals) merge(other *intervals) {
	for i, count := range other.counts {
		h.counts[i] += count
	}
	h.total += other.total
}

func (h *intervals) quantile(q float64) time.Duration {
	if h.total == 0 {
		return 0
	}
	rank := int(math.Ceil(q * float64(h.total)))
	for bucket, count := range h.counts {
		if rank -= count; rank <= 0 {
			return time.Duration(float64(leastInterval) * math.Pow(bucketGrowth, float64(bucket)+0.5))
		}
	}
	return time.Duration(math.MaxInt64)
}

// measure watches one run.
type measure struct {
	driver      *driver
	from        time.Time
	between     intervals
	first       intervals
	betweenBy   []intervals // by workspace
	firstBy     []intervals
	preemptions int
	jobs        []*job
	goodTokens  []float64 // by service, in the measured time
	good        []float64 // tokens by workspace, of jobs that arrived in the measured time
}

func newMeasure(r *driver) *measure {
	count := len(r.deployment.workspaces)
	return &measure{
		driver:     r,
		from:       r.start.Add(time.Duration(warmPart * float64(r.scenario.Span))),
		betweenBy:  make([]intervals, count),
		firstBy:    make([]intervals, count),
		goodTokens: make([]float64, len(r.deployment.services)),
		good:       make([]float64, count),
	}
}

func (m *measure) on() bool { return !m.driver.now.Before(m.from) }

func (m *measure) arrived(j *job) {
	if m.on() {
		m.jobs = append(m.jobs, j)
	}
}

func (m *measure) preempted() {
	if m.on() {
		m.preemptions++
	}
}

// token takes in the next token for a caller.
func (m *measure) token(j *job, now time.Time) {
	if j.delivered == 0 {
		j.first, j.last = now, now
		wait := now.Sub(j.at)
		j.stall += max(wait-targetFirst, 0)
		if m.on() {
			m.first.add(wait)
			m.firstBy[j.workspace].add(wait)
		}
		return
	}
	gap := now.Sub(j.last)
	j.last = now
	j.stall += max(gap-targetBetween, 0)
	if m.on() {
		m.between.add(gap)
		m.betweenBy[j.workspace].add(gap)
	}
}

// isGood tells whether a finished answer came in time: the first token within patience, the others at the target on average.
func (j *job) isGood() bool {
	if !j.finished || j.first.After(j.deadline) {
		return false
	}
	return j.length < 2 || j.last.Sub(j.first)/time.Duration(j.length-1) <= targetBetween
}

func (m *measure) finished(j *job) {
	if m.on() && j.isGood() {
		m.goodTokens[j.service] += float64(j.length)
		m.good[j.workspace] += float64(j.length)
	}
}

// span gives the seconds that were measured.
func (m *measure) span() float64 {
	return m.driver.start.Add(m.driver.scenario.Span).Sub(m.from).Seconds()
}

// result sums up the run; capacity is in tokens per second by service, zero when it is being measured.
func (m *measure) result(name string, capacity []float64) Result {
	between, first := m.between, m.first // copies, so that a result does not keep its run in memory
	r := Result{
		Policy:      name,
		Scenario:    *m.driver.scenario,
		Preemptions: m.preemptions,
		Between:     quantiles(&m.between),
		First:       quantiles(&m.first),
		Requests:    len(m.jobs),
		Jain:        m.jain(capacity),
		goodTokens:  m.goodTokens,
		between:     &between,
		first:       &first,
		betweenBy:   m.betweenBy,
		firstBy:     m.firstBy,
	}
	for _, j := range m.jobs {
		if j.refused != "" {
			r.Refused++
		}
		if j.gaveUp {
			r.GaveUp++
		}
		if j.delivered > 0 {
			r.began++
			r.Stall += j.stall
		}
	}
	r.Stall /= time.Duration(max(r.began, 1))
	for _, tokens := range m.goodTokens {
		r.Goodput += tokens / m.span()
	}
	return r
}

// jain gives the fairness among workspaces of what each got against its max-min fair part.
func (m *measure) jain(capacity []float64) float64 {
	if len(capacity) == 0 {
		return 0
	}
	asked := make([]float64, len(m.good))
	for _, j := range m.jobs {
		asked[j.workspace] += float64(j.length)
	}
	total := 0.0
	for _, tokens := range capacity {
		total += tokens * m.span()
	}
	sum, squares, count := 0.0, 0.0, 0.0
	for i, fair := range maxMin(total, asked) {
		if fair <= 0 {
			continue
		}
		part := min(m.good[i]/fair, 1)
		sum += part
		squares += part * part
		count++
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (count * squares)
}

// maxMin divides a total so that nobody gets more than asked and the least get the most that is possible.
func maxMin(total float64, asked []float64) []float64 {
	parts := make([]float64, len(asked))
	open := len(asked)
	for open > 0 && total > 1e-9 {
		each := total / float64(open)
		open = 0
		for i := range asked {
			more := min(asked[i]-parts[i], each)
			parts[i] += more
			total -= more
			if asked[i]-parts[i] > 1e-9 {
				open++
			}
		}
	}
	return parts
}
