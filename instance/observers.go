package instance

import (
	"net/netip"
	"strconv"
	"time"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/lease"
	"dogwooddyke/coordination/replica"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/protocol/answer"
	"dogwooddyke/protocol/call"
	"dogwooddyke/protocol/order"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/explanation"
)

// answerObserver counts what happens to answers and keeps it for explanations.
type answerObserver struct {
	metrics *metrics
	ring    *explanation.Ring
}

// StateChanged takes a change of state.
func (o *answerObserver) StateChanged(t answer.Transition) {
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

// callObserver counts calls of plain services.
type callObserver struct {
	metrics *metrics
	ring    *explanation.Ring
}

// Ended takes the end of a call.
func (o callObserver) Ended(request *call.Request, result call.Result) {
	detail := string(result.Outcome)
	if result.Reason != call.ReasonNone {
		detail += ": " + string(result.Reason)
	}
	if result.Repeated {
		o.metrics.event("keyRepeated", nil)
		detail += ", as the earlier call with the key"
	}
	o.ring.Add(request.ID, request.Entry, explanation.Step{At: time.Now(), Kind: "called", Detail: detail})
}

// Redispatched takes a second dispatch.
func (o callObserver) Redispatched(request *call.Request, mayHaveRun bool) {
	cause := "notStarted"
	if mayHaveRun {
		cause = "mayHaveRun"
	}
	o.metrics.retries.WithLabelValues("call." + cause).Inc()
	o.ring.Add(request.ID, request.Entry, explanation.Step{At: time.Now(), Kind: "retry", Detail: cause})
}

// claimObserver counts what stewards of idempotency keys do.
type claimObserver struct {
	instance *Instance
}

// Answered counts the answers to questions about keys.
func (o claimObserver) Answered(state claim.State) {
	o.instance.metrics.event("claim."+string(state), nil)
}

// Committed counts records and what is in them.
func (o claimObserver) Committed(claims, results int, took time.Duration) {
	m := o.instance.metrics
	m.event("claimRecord", nil)
	m.events.WithLabelValues("claimCommitted").Add(float64(claims))
	m.events.WithLabelValues("resultCommitted").Add(float64(results))
	m.commit.Observe(took.Seconds())
}

// TakenOver logs the start of a stewardship.
func (o claimObserver) TakenOver(partition, records int, took time.Duration) {
	o.instance.metrics.event("claimTakeover", nil)
	o.instance.logger.Info("steward of keys", "partition", partition, "records", records, "took", took)
}

// Deposed logs the end of a stewardship by another one.
func (o claimObserver) Deposed(partition int) {
	o.instance.metrics.event("claimDeposed", nil)
	o.instance.logger.Info("no more steward of keys", "partition", partition)
}

// Voided counts a record that did not count.
func (o claimObserver) Voided(int) { o.instance.metrics.event("claimVoid", nil) }

// Dropped counts a result that was not handed on.
func (o claimObserver) Dropped() { o.instance.metrics.event("resultDropped", nil) }

// leaseObserver counts what leases do.
type leaseObserver struct {
	instance *Instance
}

// LeaseAppended counts a record.
func (o leaseObserver) LeaseAppended(kind lease.Kind, err error) {
	o.instance.metrics.event("lease."+string(kind), err)
}

// LeaseRead counts a read.
func (o leaseObserver) LeaseRead(err error) { o.instance.metrics.event("leaseRead", err) }

// LeaseMoved logs a new leaseholder.
func (o leaseObserver) LeaseMoved(partition int, holder netip.AddrPort, fence uint64) {
	o.instance.logger.Info("lease", "partition", partition, "holder", holder, "fence", fence)
}

// orderObserver counts orders.
type orderObserver struct {
	metrics *metrics
}

// OrderSent counts an order.
func (o orderObserver) OrderSent(_ string, pulls bool, err error) {
	name := "order"
	if pulls {
		name = "orderPull"
	}
	o.metrics.event(name, err)
}

// Planned counts looks at an entry's engines.
func (o orderObserver) Planned(_ string, plan order.Plan) {
	o.metrics.event("orderPlan", nil)
	o.metrics.events.WithLabelValues("orderHeld").Add(float64(plan.Deferred))
	o.metrics.events.WithLabelValues("engineFenced").Add(float64(plan.Fenced))
}
