package instance

import (
	"net/netip"
	"strconv"
	"time"

	"dogwooddyke/coordination/replica"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/explanation"
)

// answerObserver counts what happens to answers and keeps it for explanations.
type answerObserver struct {
	metrics *metrics
	ring    *explanation.Ring
}

// Moved takes a change of state.
func (o *answerObserver) Moved(t answer.Transition) {
	o.metrics.transitions.WithLabelValues(string(t.To)).Inc()
	if !t.Legal {
		o.metrics.events.WithLabelValues("illegalTransition").Inc()
	}
	o.ring.Add(t.ID, t.Entry, explanation.Step{At: t.At, Kind: string(t.To), Detail: t.Detail})
}

// Retried takes a new attempt.
func (o *answerObserver) Retried(id, entry, cause string) {
	o.metrics.retries.WithLabelValues(o.metrics.reasons.of(cause)).Inc()
	o.ring.Add(id, entry, explanation.Step{At: time.Now(), Kind: "retry", Detail: cause})
}

// Resumed takes a new connection to a generation.
func (o *answerObserver) Resumed(id, entry string) {
	o.metrics.resumes.Inc()
	o.ring.Add(id, entry, explanation.Step{At: time.Now(), Kind: "resume"})
}

// Replayed takes the end of a replay.
func (o *answerObserver) Replayed(id, entry string, verified bool) {
	text := strconv.FormatBool(verified)
	o.metrics.replays.WithLabelValues(text).Inc()
	o.ring.Add(id, entry, explanation.Step{At: time.Now(), Kind: "replay", Detail: text})
}

// Dropped takes an event that was kept from the caller.
func (o *answerObserver) Dropped(_, _ string, cause answer.Verdict) {
	o.metrics.dropped.WithLabelValues(string(cause)).Inc()
}

// routingObserver counts what the router does.
type routingObserver struct {
	instance *Instance
}

// Admitted observes the time in the queue.
func (o *routingObserver) Admitted(entry, workspace string, submitted, now time.Time) {
	m := o.instance.metrics
	class := entry
	if e, ok := o.instance.View().Entry(entry); ok {
		class = e.Class
	}
	m.queue.WithLabelValues(m.workspaces.of(workspace), m.classes.of(class)).Observe(now.Sub(submitted).Seconds())
}

// Refused counts a refusal of the router.
func (o *routingObserver) Refused(_, _ string, reason routing.Reason) {
	o.instance.metrics.events.WithLabelValues("refused." + string(reason)).Inc()
}

// Ejected counts an endpoint that gets no work for a while.
func (o *routingObserver) Ejected(endpoint netip.AddrPort, until time.Time) {
	o.instance.metrics.events.WithLabelValues("endpointEjected").Inc()
	o.instance.logger.Warn("endpoint ejected", "endpoint", endpoint, "until", until)
}

// Preempted counts the preemptions that an engine reports.
func (o *routingObserver) Preempted(_ netip.AddrPort, count int) {
	o.instance.metrics.preemptions.Add(float64(count))
}

// memberObserver counts what keeps the table of members.
type memberObserver struct {
	metrics *metrics
}

// ListRead counts a read of the list.
func (o memberObserver) ListRead(err error) { o.metrics.event("listRead", err) }

// HeartbeatSent counts a heartbeat.
func (o memberObserver) HeartbeatSent(err error) { o.metrics.event("heartbeat", err) }

// PositionsDiffer counts a peer that folded the same records to another catalogue.
func (o memberObserver) PositionsDiffer(netip.AddrPort) { o.metrics.event("positionsDiffer", nil) }

// replicaObserver counts what keeps the catalogue, and puts changes in force.
type replicaObserver struct {
	instance *Instance
}

// LogRead counts a read of the log.
func (o *replicaObserver) LogRead(err error) { o.instance.metrics.event("logRead", err) }

// Folded counts a change by its outcome.
func (o *replicaObserver) Folded(verdict catalogue.Verdict) {
	o.instance.metrics.event("change."+string(verdict.Outcome), nil)
}

// Pushed counts a push to a peer.
func (o *replicaObserver) Pushed(err error) { o.instance.metrics.event("push", err) }

// Fetched counts a fetch from a peer.
func (o *replicaObserver) Fetched(err error) { o.instance.metrics.event("fetch", err) }

// SnapshotAppended counts a snapshot.
func (o *replicaObserver) SnapshotAppended(err error) { o.instance.metrics.event("snapshot", err) }

// StateChanged logs where the catalogue's records come from.
func (o *replicaObserver) StateChanged(from, to replica.State) {
	o.instance.logger.Info("catalogue", "from", from, "to", to)
}

// event counts something that went well or failed.
func (m *metrics) event(name string, err error) {
	if err != nil {
		name += ".failed"
	}
	m.events.WithLabelValues(name).Inc()
}
