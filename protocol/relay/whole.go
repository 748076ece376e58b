package relay

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"dogwooddyke/coordination/routing"
)

// whole sends a request whose answer is passed on in one piece, so that a broken one can still be replaced.
func (c *course) whole(d *Dispatch) error {
	ctx, cancel := context.WithDeadline(c.ctx, c.patience())
	defer cancel()
	reply, err := c.send(ctx, d)
	if err != nil {
		return c.failed(ctx, d, err)
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(reply.Body, maximumWhole))
	if err != nil || reply.Encoded || Success(reply.Status) && !reply.Signed {
		if err == nil {
			err = errSpoiled
		}
		return c.failed(ctx, d, err)
	}
	if !Success(reply.Status) {
		c.exclude(d.Place.Address)
		c.release(routing.OutcomeFailed)
		if c.again(&statusError{reply.Status}) {
			c.run()
			return nil
		}
		c.result.Outcome = OutcomeFailed
		return c.deliver(reply, body)
	}
	c.release(routing.OutcomeFinished)
	c.result.Outcome = OutcomeServed
	return c.deliver(reply, body)
}

// patience is when a request that may be sent elsewhere has waited long enough for one endpoint.
func (c *course) patience() time.Time {
	target := time.Duration(hedgeTargets * float64(c.request.Route.Target))
	turn := time.Now().Add(target)
	if !c.request.Route.Repeatable() || c.ran+1 >= c.request.Route.Attempts || target == 0 || turn.After(c.request.Deadline) {
		return c.request.Deadline
	}
	return turn
}

// failed gives the place back after a dispatch without an answer.
func (c *course) failed(ctx context.Context, d *Dispatch, err error) error {
	c.exclude(d.Place.Address)
	switch {
	case c.caller.Err() != nil:
		c.release(routing.OutcomeCancelled)
		return errCaller
	case ctx.Err() != nil && !isNotRun(err):
		err = errSilent
	}
	c.release(outcomeOf(err))
	return err
}

// outcomeOf tells the router what a failed dispatch says of its endpoint.
func outcomeOf(err error) routing.Outcome {
	switch {
	case isAbsent(err):
		return routing.OutcomeUnreachable
	case isNotRun(err):
		return routing.OutcomeRefused
	default:
		return routing.OutcomeFailed
	}
}

// deliver passes a whole answer on.
func (c *course) deliver(reply *Reply, body []byte) error {
	if c.request.Method != http.MethodHead {
		reply.Header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	err := c.pass(reply.Status, reply.Header)
	if err == nil {
		err = c.sink.Write(body)
	}
	if err != nil {
		c.result.Outcome, c.result.Reason, c.result.Err = OutcomeLeft, ReasonCaller, err
	}
	return nil
}

// Success tells whether a status is one of success.
func Success(status int) bool { return status >= http.StatusOK && status < http.StatusMultipleChoices }
