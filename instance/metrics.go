package instance

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/transport/caller"
)

// secondsBuckets spans 1 ms to about a minute, with bounds at the targets for the first token and between tokens.
var secondsBuckets = []float64{0.001, 0.005, 0.01, 0.02, 0.04, 0.068, 0.1, 0.2, 0.37, 0.7, 1.5, 3, 6, 15, 60}

// metrics holds all metrics of one instance.
type metrics struct {
	registry   *prometheus.Registry
	workspaces *labels
	classes    *labels
	reasons    *labels

	firstToken    *prometheus.HistogramVec
	betweenTokens *prometheus.HistogramVec
	stall         *prometheus.HistogramVec
	queue         *prometheus.HistogramVec
	whole         *prometheus.HistogramVec
	ended         *prometheus.CounterVec
	refused       *prometheus.CounterVec
	transitions   *prometheus.CounterVec
	retries       *prometheus.CounterVec
	resumes       prometheus.Counter
	replays       *prometheus.CounterVec
	dropped       *prometheus.CounterVec
	events        *prometheus.CounterVec
	preemptions   prometheus.Counter
	commit        prometheus.Histogram
}

func newMetrics() *metrics {
	m := &metrics{
		registry:   prometheus.NewRegistry(),
		workspaces: newLabels(maximumWorkspaceLabels),
		classes:    newLabels(maximumClassLabels),
		reasons:    newLabels(maximumReasonLabels),
	}
	m.firstToken = m.histogram("first_token_seconds", "Time from a request's arrival to its first token.")
	m.betweenTokens = m.histogram("between_tokens_seconds", "Time between two tokens of an answer.")
	m.stall = m.histogram("stall_seconds", "Time beyond the stall bound that a caller waited for one token.")
	m.queue = m.histogram("queue_seconds", "Time that a request waited for an endpoint.")
	m.whole = m.histogram("answer_seconds", "Time from a request's arrival to the end of its whole answer.")
	m.ended = m.counter("requests_ended_total", "Requests by how they ended.", "workspace", "class", "outcome")
	m.refused = m.counter("requests_refused_total", "Refusals by reason.", "workspace", "class", "reason")
	m.transitions = m.counter("answer_transitions_total", "Entries into each state of an answer.", "state")
	m.retries = m.counter("retries_total", "New attempts by cause.", "cause")
	m.replays = m.counter("replays_total", "Verified replays by result.", "verified")
	m.dropped = m.counter("tokens_dropped_total", "Events kept from callers by cause.", "cause")
	m.events = m.counter("events_total", "Events between instances and with the platform.", "event")
	m.preemptions = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "engine_preemptions_total", Help: "Preemptions that engines report.",
	})
	m.resumes = prometheus.NewCounter(prometheus.CounterOpts{
		Namespace: namespace, Name: "resumes_total", Help: "New connections to a generation in progress.",
	})
	m.commit = prometheus.NewHistogram(prometheus.HistogramOpts{
		Namespace: namespace, Name: "claim_commit_seconds", Help: "Time to append one group of claims.", Buckets: secondsBuckets,
	})
	m.registry.MustRegister(m.commit, m.resumes, m.preemptions, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return m
}

func (m *metrics) histogram(name, help string) *prometheus.HistogramVec {
	options := prometheus.HistogramOpts{Namespace: namespace, Name: name, Help: help, Buckets: secondsBuckets}
	vector := prometheus.NewHistogramVec(options, []string{"workspace", "class"})
	m.registry.MustRegister(vector)
	return vector
}

func (m *metrics) counter(name, help string, names ...string) *prometheus.CounterVec {
	vector := prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, names)
	m.registry.MustRegister(vector)
	return vector
}

// gauge registers a value that is read when it is asked for.
func (m *metrics) gauge(name, help string, read func() float64) {
	options := prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}
	m.registry.MustRegister(prometheus.NewGaugeFunc(options, read))
}

// Refused counts a refusal.
func (m *metrics) Refused(workspace, class, reason string) {
	m.refused.WithLabelValues(m.workspaces.of(workspace), m.classes.of(class), m.reasons.of(reason)).Inc()
}

// Ended counts a request that has ended, and observes how long it took if it finished.
func (m *metrics) Ended(workspace, class string, outcome answer.Outcome, took time.Duration) {
	w, c := m.workspaces.of(workspace), m.classes.of(class)
	m.ended.WithLabelValues(w, c, string(outcome)).Inc()
	if outcome == answer.OutcomeFinished {
		m.whole.WithLabelValues(w, c).Observe(took.Seconds())
	}
}

// Begin returns the histograms of one answer, so that no label is looked up for each token.
func (m *metrics) Begin(workspace, class string) caller.Timing {
	w, c := m.workspaces.of(workspace), m.classes.of(class)
	return &timing{
		firstToken:    m.firstToken.WithLabelValues(w, c),
		betweenTokens: m.betweenTokens.WithLabelValues(w, c),
		stall:         m.stall.WithLabelValues(w, c),
	}
}

// timing observes the tokens of one answer.
type timing struct {
	firstToken    prometheus.Observer
	betweenTokens prometheus.Observer
	stall         prometheus.Observer
}

// FirstToken observes the wait for the first token.
func (t *timing) FirstToken(wait time.Duration) {
	t.firstToken.Observe(wait.Seconds())
}

// BetweenTokens observes the wait for each further token.
func (t *timing) BetweenTokens(wait time.Duration) {
	t.betweenTokens.Observe(wait.Seconds())
	if wait > stallBound {
		t.stall.Observe((wait - stallBound).Seconds())
	}
}
