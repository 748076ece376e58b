package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

// sendBuffered dispatches a request whose answer is buffered completely before it is forwarded, so that the request can still be sent
// again if the answer breaks off.
func (x *execution) sendBuffered(d *Dispatch) error {
	ctx, cancel := context.WithCancel(x.ctx)
	defer cancel()
	late := x.startHedgeTimer(d, cancel)
	defer late.close()
	reply, err := x.send(ctx, d)
	if err != nil {
		late.close()
		return x.handleFailure(ctx, d, err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := x.readBody(reply)
	late.close()
	if err == nil {
		err = x.checkReply(reply)
	}
	if err != nil {
		return x.handleFailure(ctx, d, err)
	}
	x.noteAnswer(reply)
	if !IsSuccess(reply.Status) {
		x.exclude(d.Endpoint.Address)
		x.release(routing.OutcomeFailed)
		x.keep(reply, body)
		if x.shouldRetry(&statusError{reply.Status}) {
			x.run()
			return nil
		}
		x.deliverKept()
		return nil
	}
	x.release(routing.OutcomeFinished)
	x.result.Outcome = OutcomeServed
	x.deliver(reply, body)
	return nil
}

// noteAnswer notes that the endpoint has survived the request, if the whole answer is its own.
func (x *execution) noteAnswer(reply *Reply) {
	x.lastEventAt = time.Now()
	if reply.Signed {
		x.screening.Answered(time.Now())
	}
}

// readBody reads the whole body of an answer. It returns an error if the body is larger than maximumBodyBytes, which it may be without end.
func (x *execution) readBody(reply *Reply) ([]byte, error) {
	var body []byte
	held := 0
	for {
		if len(body) == held {
			more := max(len(body), firstHeldBytes)
			if err := x.hold(more); err != nil {
				return nil, err
			}
			held += more
			body = slices.Grow(body, more)
		}
		n, err := reply.Body.Read(body[len(body):held])
		body = body[:len(body)+n]
		switch {
		case len(body) > maximumBodyBytes:
			return nil, errBodySize
		case errors.Is(err, io.EOF):
			return body, x.checkEnd(reply)
		case err != nil:
			return nil, err
		}
	}
}

// hold counts so many bytes more that are held for the request until it ends; it waits while the budget is used up.
func (x *execution) hold(count int) error {
	for !x.runner.Memory.Take(count) {
		if err := wait.For(x.ctx, budgetPollInterval); err != nil {
			return err
		}
	}
	x.held += count
	return nil
}

// startHedgeTimer starts a timer that calls cancel once a whole answer is late and its request can be sent to another endpoint.
func (x *execution) startHedgeTimer(d *Dispatch, cancel func()) *silenceTimer {
	timeout := time.Duration(hedgeTargetFactor * float64(x.request.Route.Target))
	if timeout == 0 || !x.mayRepeatSilent() || time.Now().Add(timeout).After(x.request.Deadline) {
		return &silenceTimer{}
	}
	return x.startCheckedTimer(timeout, repeatPause, cancel, x.newReserver(d, timeout).reserve)
}

// handleFailure releases the slot after a dispatch without a valid answer, and returns the cause.
func (x *execution) handleFailure(ctx context.Context, d *Dispatch, err error) error {
	x.exclude(d.Endpoint.Address)
	switch {
	case x.caller.Err() != nil:
		x.release(routing.OutcomeCancelled)
		return errCallerLeft
	case x.isClosing():
		err = x.causeOf(err)
	case ctx.Err() != nil && !isNotRun(err):
		err = errSilent
	}
	x.noteCrash(d, err, 0)
	x.endBeforeRepeat(d, err)
	x.release(slotOutcome(err))
	return err
}

// slotOutcome returns the outcome with which the slot of a failed dispatch is released.
func slotOutcome(err error) routing.Outcome {
	switch {
	case isConnectionRefused(err):
		return routing.OutcomeUnreachable
	case isNotRun(err):
		return routing.OutcomeRefused
	default:
		return routing.OutcomeFailed
	}
}

// keptAnswer is an endpoint's own answer with an error status. It is forwarded if the request is not run again, or only without an answer.
type keptAnswer struct {
	reply *Reply
	body  []byte
}

// keep keeps an endpoint's answer with an error status.
func (x *execution) keep(reply *Reply, body []byte) { x.kept = &keptAnswer{reply, body} }

// deliverKept forwards the kept answer.
func (x *execution) deliverKept() {
	x.result.Outcome, x.result.Status = OutcomeFailed, x.kept.reply.Status
	x.deliver(x.kept.reply, x.kept.body)
}

// deliver forwards a buffered answer.
func (x *execution) deliver(reply *Reply, body []byte) {
	if x.request.Method != http.MethodHead {
		reply.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	x.begin(reply.Status, reply.Header)
	x.outbox.give(body)
}

// IsSuccess reports whether an HTTP status means success.
func IsSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}
