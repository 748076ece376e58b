package relay

import (
	"context"
	"errors"
	"io"
	"time"

	"dogwooddyke/coordination/routing"
)

// stream sends a request whose events are passed on as they come, and follows its run to other endpoints.
func (c *course) stream(d *Dispatch) error {
	for {
		d.Expected = c.slot.Decision().ExpectedTokens
		d.Backup = c.backup()
		next, err := c.follow(d)
		if err != nil || next == nil {
			return err
		}
		d = next
		c.result.Moved++
	}
}

// follow reads one endpoint's part of a stream; a dispatch to go on with is returned when the run was moved.
func (c *course) follow(d *Dispatch) (*Dispatch, error) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()
	quiet := c.watch(cancel)
	defer quiet.stop()
	reply, err := c.send(ctx, d)
	if err != nil {
		return nil, c.failedStream(d, quiet.cause(err))
	}
	defer func() { _ = reply.Body.Close() }()
	if !Success(reply.Status) || !reply.Signed || reply.Encoded {
		return nil, c.refusedStream(d, reply)
	}
	m := c.startMover(d)
	err = c.pump(reply, quiet)
	move := m.finish(err == nil)
	switch {
	case err == nil && !(move != nil && reply.Unframed):
		c.release(routing.OutcomeFinished)
		c.result.Outcome = OutcomeServed
		return nil, nil
	case errors.Is(err, errCaller) || c.caller.Err() != nil:
		move.give(c)
		c.release(routing.OutcomeCancelled)
		return nil, errCaller
	case move != nil:
		return c.moveOn(d, move), nil
	}
	if next := c.restore(d); next != nil {
		return next, nil
	}
	return nil, c.failedStream(d, quiet.cause(err))
}

// pump passes the events on until the stream ends.
func (c *course) pump(reply *Reply, quiet *watch) error {
	e := newEvents(reply.Body)
	for {
		found, err := e.next()
		if errors.Is(err, io.EOF) {
			// A caller who has all events of a stream still lacks its end.
			return c.pass(reply.Status, reply.Header)
		}
		if err != nil {
			return err
		}
		quiet.heard()
		if found.numbered && found.id <= c.last && c.last > 0 {
			continue
		}
		if found.numbered && c.last > 0 && found.id != c.last+1 {
			return errGap
		}
		if err := c.pass(reply.Status, reply.Header); err != nil {
			return err
		}
		if err := c.sink.Write(found.data); err != nil {
			return errCaller
		}
		if found.numbered {
			c.last = found.id
			c.result.LastEvent = found.id
		}
		c.progress()
	}
}

// progress counts the tokens of one event.
func (c *course) progress() {
	stride := 1
	if c.request.Engine != nil {
		stride = c.request.Engine.Stride
	}
	now := time.Now()
	if c.result.Events > 0 {
		c.result.Pause = max(c.result.Pause, now.Sub(c.heard))
	}
	c.heard = now
	c.result.Events++
	c.passed.Add(int32(stride))
	c.slot.RecordTokens(stride, now)
}

// refusedStream handles an answer that is no stream of the endpoint's.
func (c *course) refusedStream(d *Dispatch, reply *Reply) error {
	c.exclude(d.Place.Address)
	c.release(routing.OutcomeFailed)
	failure := error(&statusError{reply.Status})
	if Success(reply.Status) {
		failure = errSpoiled
	}
	if c.result.Begun || Success(reply.Status) {
		return failure
	}
	body, err := io.ReadAll(io.LimitReader(reply.Body, maximumWhole))
	if err != nil {
		return err
	}
	if c.again(failure) {
		c.run()
		return nil
	}
	c.result.Outcome = OutcomeFailed
	return c.deliver(reply, body)
}

// failedStream gives the place back after a stream that broke off.
func (c *course) failedStream(d *Dispatch, err error) error {
	if c.caller.Err() != nil {
		c.release(routing.OutcomeCancelled)
		return errCaller
	}
	c.exclude(d.Place.Address)
	c.release(outcomeOf(err))
	return err
}

// watch ends a resumable stream whose endpoint falls silent.
type watch struct {
	timer *time.Timer
	quiet chan struct{}
	bound time.Duration
}

func (c *course) watch(cancel func()) *watch {
	w := &watch{quiet: make(chan struct{})}
	if !c.request.Route.Resumable || c.ran+1 >= c.request.Route.Attempts {
		return w
	}
	w.bound = max(c.request.Route.Target, streamSilence)
	w.timer = time.AfterFunc(w.bound, func() {
		close(w.quiet)
		cancel()
	})
	return w
}

func (w *watch) heard() {
	if w.timer != nil {
		w.timer.Reset(w.bound)
	}
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// cause names silence as the cause of a cancelled read.
func (w *watch) cause(err error) error {
	select {
	case <-w.quiet:
		return errSilent
	default:
		return err
	}
}
