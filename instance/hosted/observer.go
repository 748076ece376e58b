package hosted

import (
	"log/slog"
	"math"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/quota"
	"dogwooddyke/coordination/resumption"
	"dogwooddyke/coordination/standing"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
	"dogwooddyke/state/ratelimit"
	"dogwooddyke/state/roster"
)

// observer logs and counts each decision about a request, and logs each change of an endpoint.
type observer struct {
	onGenerationDispatched func(engine netip.AddrPort)        // called for each dispatch of a generation
	rateLimit              func(e process.ID) ratelimit.Limit // returns the limit of an endpoint
	logger                 *slog.Logger
	metrics                *metrics

	cut     atomic.Int64 // answers that had begun and were ended since the instance closes
	unknown atomic.Int64 // dispatched requests that were ended without an answer for this reason
	notRun  atomic.Int64 // requests that were refused for this reason

	mutex              sync.Mutex
	labelledWorkspaces map[string]bool // workspaces that have a label value of their own
}

func newObserver(logger *slog.Logger) *observer {
	unlimited := func(process.ID) ratelimit.Limit { return ratelimit.Limit{} }
	return &observer{rateLimit: unlimited, logger: logger, metrics: newMetrics(), labelledWorkspaces: make(map[string]bool)}
}

// workspaceLabel returns the label value of a workspace; workspaces beyond the first maximumWorkspaceLabels share one.
func (o *observer) workspaceLabel(workspace string) string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if !o.labelledWorkspaces[workspace] && len(o.labelledWorkspaces) >= maximumWorkspaceLabels {
		return "others"
	}
	o.labelledWorkspaces[workspace] = true
	return workspace
}

// Dispatched logs to which endpoint a request is sent.
func (o *observer) Dispatched(d *relay.Dispatch, dispatches int) {
	if d.Request.Engine != nil {
		o.onGenerationDispatched(d.Endpoint.Address)
	}
	limited := o.rateLimit(d.Endpoint.Process()).Named
	if limited {
		o.metrics.limitedDispatches.Inc()
	}
	o.logger.Info("dispatched", "id", d.Request.ID, "service", d.Request.Service, "endpoint", d.Endpoint.ID, "address", d.Endpoint.Address, "version", d.Endpoint.Version, "limited", limited,
		"sent", dispatches, "after", d.After, "resumes", d.Request.Resumes, "copied", d.Copy != nil, "from", d.Origin, "backup", d.Backup, "prompt", d.Request.PromptTokens, "request", d.Request.Whole.String(), "parts", prompt.Format(d.Request.Parts), "output", d.Request.MaximumTokens, "expected", int(d.ExpectedTokens), "batch", d.Choice.Batch, "filled", roundToThousandths(d.Choice.Memory), "score", roundToThousandths(d.Choice.Score), "expectedFirstMs", d.Choice.FirstToken.Milliseconds(), "leftMs", time.Until(d.Deadline).Milliseconds())
}

// statementUnreadable logs a part of what an endpoint says of itself that can't be read.
func (o *observer) statementUnreadable(e relay.Endpoint, err error) {
	o.logger.Warn("could not read what an endpoint says of itself", "endpoint", e.ID, "error", err.Error())
}

// Rests logs and counts the begin of an endpoint's rest.
func (o *observer) Rests(e standing.Endpoint, until time.Time, source string) {
	o.metrics.rests.Inc()
	o.logger.Info("endpoint asks for rest", "endpoint", e.ID, "address", e.Process.Address, "restMs", time.Until(until).Milliseconds(), "source", source)
}

// Doubted logs and counts an answer by which an endpoint may be leaving.
func (o *observer) Doubted(e standing.Endpoint) {
	o.metrics.doubts.Inc()
	o.logger.Info("endpoint may be leaving", "endpoint", e.ID, "address", e.Process.Address)
}

// LeavingChanged logs that an endpoint leaves by its own answers, or does not after all.
func (o *observer) LeavingChanged(e standing.Endpoint, leaving bool) {
	message := "endpoint is not leaving after all"
	if leaving {
		message = "endpoint is leaving by its own answers"
	}
	o.logger.Info(message, "endpoint", e.ID, "address", e.Process.Address)
}

// Asked counts the questions whether an endpoint leaves.
func (o *observer) Asked(e standing.Endpoint, err error) {
	o.metrics.questions.WithLabelValues(strconv.FormatBool(err == nil)).Inc()
	if err != nil {
		o.logger.Debug("endpoint did not say whether it leaves", "endpoint", e.ID, "error", err.Error())
	}
}

// RateLimitChanged logs a notable change of an endpoint's rate limit.
func (o *observer) RateLimitChanged(n ratelimit.News, source string) {
	o.logger.Info("rate limit changed", "address", n.Endpoint.Address, "named", n.Limit.Named, "perSecond", n.Limit.PerSecond, "source", source)
}

// PermitsAsked counts the asks for permits by their result, and the permits.
func (o *observer) PermitsAsked(result quota.Result, permits int) {
	o.metrics.permitAsks.WithLabelValues(string(result)).Inc()
	o.metrics.permits.Add(float64(permits))
}

// MessageUnreadable logs a message between instances that could not be encoded or decoded.
func (o *observer) MessageUnreadable(err error) { o.recordUnreadable("permits", err) }

// PartSuspected logs and counts a part that is suspected of crashing endpoints, or not any more.
func (o *observer) PartSuspected(p prompt.Part, crashes int) {
	if crashes == 0 {
		o.logger.Info("part of requests cleared", "part", p.String())
		return
	}
	o.metrics.suspicions.Inc()
	o.logger.Warn("part of requests suspected of crashing endpoints", "part", p.String(), "crashes", crashes)
}

// TrialDecided counts the decisions about requests with a part that is blamed for crashes.
func (o *observer) TrialDecided(v quarantine.Verdict) {
	o.metrics.trials.WithLabelValues(v.String()).Inc()
}

// TrialMessageUnreadable logs a message about crashes or trials that could not be encoded or decoded.
func (o *observer) TrialMessageUnreadable(err error) { o.recordUnreadable("trials", err) }

// roundToThousandths rounds to three decimal places.
func roundToThousandths(value float64) float64 { return math.Round(value*1000) / 1000 }

// RetryDecided logs and counts a failed dispatch, and whether the request is sent again.
func (o *observer) RetryDecided(r *relay.Request, endpoint relay.Endpoint, cause error, allowed bool) {
	o.metrics.retries.WithLabelValues(strconv.FormatBool(allowed)).Inc()
	o.logger.Info("dispatch failed", "id", r.ID, "endpoint", endpoint.ID, "cause", cause.Error(), "again", allowed)
}

// CrashNoticed logs a request that was at an endpoint when that crashed, and counts it if the endpoint had produced no output for it.
func (o *observer) CrashNoticed(d *relay.Dispatch, events int) {
	message := "endpoint crashed within an answer"
	if events == 0 {
		o.metrics.crashes.Inc()
		message = "endpoint crashed before output"
	}
	o.logger.Info(message, "id", d.Request.ID, "endpoint", d.Endpoint.ID, "address", d.Endpoint.Address, "events", events, "copied", d.Copy != nil, "request", d.Request.Whole.String(), "parts", prompt.Format(d.Request.Parts))
}

// streamTakenUp logs and counts a stream that its caller takes up again, with the version that began it and by what that is known.
func (o *observer) streamTakenUp(r *relay.Request, version string, source resumption.Source, began time.Time) {
	o.metrics.takenUp.WithLabelValues(string(source)).Inc()
	o.logger.Info("stream taken up", "id", r.ID, "service", r.Service, "resumes", r.Resumes, "after", r.After, "version", version, "knownBy", source, "tookMs", time.Since(began).Milliseconds())
}

// StreamMessageUnreadable logs a message about the beginnings of streams that could not be encoded or decoded.
func (o *observer) StreamMessageUnreadable(err error) { o.recordUnreadable("streams", err) }

// Moved logs and counts an attempt to move a run.
func (o *observer) Moved(r *relay.Request, from, to netip.AddrPort, c relay.Copy, last bool, began time.Time, err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	o.metrics.moves.WithLabelValues(strconv.FormatBool(last), strconv.FormatBool(err != nil)).Inc()
	o.logger.Info("run moved", "id", r.ID, "from", from, "to", to, "last", last, "handle", c.Handle, "created", c.Created, "tookMs", time.Since(began).Milliseconds(), "error", text)
}

// FormerRunAsked logs and counts what is known of a run at its endpoint after its stream has broken off.
func (o *observer) FormerRunAsked(d *relay.Dispatch, state relay.FormerRun, began time.Time, err error) {
	o.metrics.formerRuns.WithLabelValues(string(state)).Inc()
	line := []any{"id", d.Request.ID, "endpoint", d.Endpoint.ID, "address", d.Endpoint.Address, "state", state, "tookMs", time.Since(began).Milliseconds()}
	if err != nil {
		line = append(line, "error", err.Error())
	}
	o.logger.Info("stream broke off, run asked to stop", line...)
}

// StreamSilent logs and counts a stream whose connection has gone silent.
func (o *observer) StreamSilent(d *relay.Dispatch, made int, received int64) {
	o.metrics.silentStreams.Inc()
	o.logger.Warn("connection of a stream has gone silent", "id", d.Request.ID, "endpoint", d.Endpoint.ID, "address", d.Endpoint.Address, "made", made, "received", received)
}

// Declined logs and counts a request that was refused before it was sent to an endpoint.
func (o *observer) Declined(id, workspace string, status int, reason string, catalogue int64) {
	o.metrics.declined.WithLabelValues(strconv.Itoa(status)).Inc()
	o.logger.Info("declined", "id", id, "workspace", workspace, "status", status, "reason", reason, "catalogue", catalogue)
}

// countClosing counts a request that ended since the instance closes.
func (o *observer) countClosing(outcome relay.Outcome) {
	switch outcome {
	case relay.OutcomeInterrupted:
		o.cut.Add(1)
	case relay.OutcomeUnknown:
		o.unknown.Add(1)
	case relay.OutcomeNotRun:
		o.notRun.Add(1)
	case relay.OutcomeServed, relay.OutcomeFailed, relay.OutcomeCallerLeft: // their ends have another cause
	}
}

// ended logs and counts an ended request.
func (o *observer) ended(r *relay.Request, result *relay.Result) {
	now := time.Now()
	o.metrics.observe(r, result, o.workspaceLabel(r.Workspace), now)
	if result.Reason == relay.ReasonClosing {
		o.countClosing(result.Outcome)
	}
	line := []any{
		"id", r.ID, "workspace", r.Workspace, "route", r.Route.Name, "outcome", result.Outcome, "reason", result.Reason, "status", result.Status,
		"endpoint", result.Endpoint.ID, "sent", result.Dispatches, "moved", result.Moves, "restored", result.Restores, "end", result.End, "events", result.Events, "lastEvent", result.LastEvent,
		"waitedMs", millisecondsBetween(r.Arrived, result.AdmittedAt), "firstMs", millisecondsBetween(r.Arrived, result.BegunAt), "pauseMs", result.LongestPause.Milliseconds(), "tookMs", now.Sub(r.Arrived).Milliseconds(),
		"phase", result.Phase, "lastEventMs", millisecondsBetween(result.LastEventAt, now), "unsentBytes", result.UnsentBytes,
	}
	if result.Err != nil {
		line = append(line, "error", result.Err.Error())
	}
	o.logger.Info("ended", line...)
}

// millisecondsBetween returns the milliseconds between two times; -1 if one is zero, as for a stage that was not reached.
func millisecondsBetween(from, to time.Time) int64 {
	if from.IsZero() || to.IsZero() {
		return -1
	}
	return to.Sub(from).Milliseconds()
}

// endpointChanged logs a change of an endpoint.
func (o *observer) endpointChanged(c roster.Change, source string) {
	if c.Endpoint == nil {
		o.logger.Info("endpoint gone", "endpoint", c.ID, "era", c.Era, "offset", c.Offset, "source", source)
		return
	}
	o.logger.Info("endpoint changed", "endpoint", c.ID, "service", c.Endpoint.Service, "address", c.Endpoint.Address, "version", c.Endpoint.Version, "leaving", c.Endpoint.Leaving, "coldMs", c.ColdFor.Milliseconds(), "era", c.Era, "offset", c.Offset, "source", source)
}

// evacuationChanged logs that a data centre is evacuated, or in use again.
func (o *observer) evacuationChanged(dataCentre string, withdrawn bool, source string) {
	message := "data centre evacuated"
	if withdrawn {
		message = "data centre in use again"
	}
	o.logger.Warn(message, "dataCentre", dataCentre, "source", source)
}

// logRestored logs and counts a restore of the log from an older copy.
func (o *observer) logRestored(previous, era int64) {
	o.metrics.restores.Inc()
	o.logger.Warn("log restored from an older copy", "previousEra", previous, "era", era)
}

// listSettled logs that this instance's endpoints and the list of a restored log agree again.
func (o *observer) listSettled(era int64, endpoints int, took time.Duration) {
	o.logger.Info("endpoint list settled after restore", "era", era, "endpoints", endpoints, "tookMs", took.Milliseconds())
}

// reportNotSent logs a report that could not be sent.
func (o *observer) reportNotSent(to netip.AddrPort, err error) {
	o.logger.Debug("could not send report", "to", to, "error", err.Error())
}

// readUnanswered logs and counts a waiting read of the log that is restarted, since the log has records which it did not return.
func (o *observer) readUnanswered(topic string) {
	o.metrics.unansweredReads.Inc()
	o.logger.Warn("waiting read of the log is not answered", "topic", topic)
}

// recordUnreadable logs a record of the log, or a peer's report, that could not be decoded.
func (o *observer) recordUnreadable(key string, err error) {
	o.logger.Warn("could not decode record", "endpoint", key, "error", err.Error())
}
