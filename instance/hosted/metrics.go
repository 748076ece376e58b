package hosted

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"

	"dogwooddyke/protocol/relay"
)

// metrics holds the instance's counters and histograms. Latencies are labelled by kind of route and by workspace, both from the
// catalogue, so that the catalogue bounds the number of label values.
type metrics struct {
	registry          *prometheus.Registry
	ended             *prometheus.CounterVec
	declined          *prometheus.CounterVec
	retries           *prometheus.CounterVec
	moves             *prometheus.CounterVec
	restores          prometheus.Counter
	unansweredReads   prometheus.Counter
	silentStreams     prometheus.Counter
	formerRuns        *prometheus.CounterVec
	takenUp           *prometheus.CounterVec
	crashes           prometheus.Counter
	suspicions        prometheus.Counter
	trials            *prometheus.CounterVec
	limitedDispatches prometheus.Counter
	permitAsks        *prometheus.CounterVec
	permits           prometheus.Counter
	rests             prometheus.Counter
	doubts            prometheus.Counter
	questions         *prometheus.CounterVec
	lateFirstTokens   *prometheus.CounterVec
	timeToAnswer      *prometheus.HistogramVec
	totalTime         *prometheus.HistogramVec
	longestPause      *prometheus.HistogramVec
}

// maximumWorkspaceLabels limits the workspaces that have a label value of their own; further workspaces share one.
const maximumWorkspaceLabels = 256

func newMetrics() *metrics {
	latencies := prometheus.ExponentialBuckets(0.005, 2, 14)
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Namespace: "dogwooddyke", Name: name, Help: help, Buckets: latencies}, []string{"class", "workspace"})
	}
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: name, Help: help}, labels)
	}
	m := &metrics{
		registry:          prometheus.NewRegistry(),
		ended:             counter("requests_total", "Requests by how they ended and why.", "class", "outcome", "reason"),
		declined:          counter("declined_total", "Requests that came to no endpoint, by status.", "status"),
		retries:           counter("repeats_total", "Dispatches that failed, by whether another one followed.", "again"),
		moves:             counter("moves_total", "Copies of runs, by whether the run stopped with it and whether it failed.", "last", "failed"),
		restores:          prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "log_restores_total", Help: "Restores of the platform's log from an older copy."}),
		unansweredReads:   prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "log_unanswered_reads_total", Help: "Waiting reads of the platform's log that were restarted, since the log had records which they did not return."}),
		crashes:           prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "crashed_requests_total", Help: "Requests that were at an endpoint when that crashed and that it had produced no output for, on all routes."}),
		suspicions:        prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "suspected_parts_total", Help: "Suspicions that a part of prompts crashes endpoints; each further crash counts again."}),
		silentStreams:     prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "silent_streams_total", Help: "Streams whose endpoint made events that did not arrive."}),
		formerRuns:        counter("former_runs_total", "Runs whose stream broke off, by what their endpoint said when it was asked to stop them.", "state"),
		takenUp:           counter("streams_taken_up_total", "Streams that their callers took up again, by what the version that began them was known by.", "known_by"),
		trials:            counter("trials_total", "Decisions about requests with a part that is blamed for crashes, by verdict.", "verdict"),
		limitedDispatches: prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "limited_dispatches_total", Help: "Dispatches to endpoints whose rate limit was known."}),
		permitAsks:        counter("permit_asks_total", "Asks for permits of endpoints that limit their rate, by result.", "result"),
		permits:           prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "permits_total", Help: "Permits that this instance was granted; an unused one lapses."}),
		rests:             prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "rests_total", Help: "Times that an endpoint began to rest because it had asked for that."}),
		doubts:            prometheus.NewCounter(prometheus.CounterOpts{Namespace: "dogwooddyke", Name: "departure_signs_total", Help: "Answers by which an endpoint may be leaving that was not taken for leaving before."}),
		questions:         counter("departure_questions_total", "Questions whether an endpoint leaves, by whether it answered.", "answered"),
		lateFirstTokens:   counter("late_first_total", "Answers that began later than their route's target.", "class"),
		timeToAnswer:      histogram("first_seconds", "Time to the beginning of the answer."),
		totalTime:         histogram("whole_seconds", "Time to the end of the answer."),
		longestPause:      histogram("pause_seconds", "Longest time between two events of a stream."),
	}
	m.registry.MustRegister(collectors.NewGoCollector(), m.ended, m.declined, m.retries, m.moves, m.restores, m.unansweredReads, m.formerRuns, m.takenUp, m.silentStreams, m.crashes, m.suspicions, m.trials, m.limitedDispatches, m.permitAsks, m.permits, m.rests, m.doubts, m.questions, m.lateFirstTokens, m.timeToAnswer, m.totalTime, m.longestPause)
	return m
}

// registerCount adds a gauge whose value is a number of things that the instance knows.
func (m *metrics) registerCount(name, help string, count func() int) {
	m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{
		Namespace: "dogwooddyke",
		Name:      name,
		Help:      help,
	}, func() float64 { return float64(count()) }))
}

// registerCounts adds the gauges of what the instance's parts know.
func (i *Instance) registerCounts() {
	m := i.observer.metrics
	m.registerCount("limited_endpoints", "Endpoints that name a limit on the rate of requests.", i.quotas.LimitedEndpoints)
	m.registerCount("cold_endpoints", "Endpoints that have just started and take few requests.", i.quotas.ColdEndpoints)
	m.registerCount("resting_endpoints", "Endpoints that have asked for rest.", i.standings.Resting)
	m.registerCount("departing_endpoints", "Endpoints that leave by their own word.", i.standings.Leaving)
	m.registerCount("held_bytes", "Bytes that are held for callers who send or read slowly.", i.memory.Used)
	m.registerCount("kept_streams", "Streams of all instances whose first version this instance keeps.", i.resumption.Kept)
	m.registerCount("evacuated_data_centres", "Data centres to which no request may be sent.", i.evacuations.Count)
}

// observe counts an ended request and records its latencies.
func (m *metrics) observe(r *relay.Request, result *relay.Result, workspace string, now time.Time) {
	class := r.Route.Kind.String()
	m.ended.WithLabelValues(class, string(result.Outcome), string(result.Reason)).Inc()
	if result.BegunAt.IsZero() {
		return
	}
	if r.Route.Target > 0 && result.BegunAt.Sub(r.Arrived) > r.Route.Target {
		m.lateFirstTokens.WithLabelValues(class).Inc()
	}
	m.timeToAnswer.WithLabelValues(class, workspace).Observe(result.BegunAt.Sub(r.Arrived).Seconds())
	m.totalTime.WithLabelValues(class, workspace).Observe(now.Sub(r.Arrived).Seconds())
	if result.Events > 1 {
		m.longestPause.WithLabelValues(class, workspace).Observe(result.LongestPause.Seconds())
	}
}
