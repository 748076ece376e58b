package answer

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/routing"
)

// execution is one run of one answer; it is used by one goroutine, but for moved.
type execution struct {
	runner              *Runner
	request             *Request
	sink                Sink
	states              *stateMachine
	latency             *TokenLatency
	budget              *RetryBudget
	callerContext       context.Context // ends when the caller leaves
	ctx                 context.Context // ends also at the answer's deadline
	cancel              context.CancelFunc
	filter              *Filter
	slot                Slot // nil while there is none
	stream              Stream
	location            location
	attempt             int // number of the current generation
	unstartedDispatches int // dispatches that did not start
	lostGenerations     int // generations that may have run
	evidence            evidence
	buffered            []Token // of an answer in one piece
	bufferedBytes       int
	lastProgress        time.Time // when the last token came, or the dispatch
	tokenDeadline       time.Time // of the next token
	reconnects          int       // new connections since the last token
	bodyHash            []byte
	bodyDiffers         bool                 // the body is not the one of the generation that the caller has a part of
	resumed             bool                 // reads a generation that another execution started
	resumedFrom         int                  // tokens that the caller had when it came back
	continuedElsewhere  atomic.Bool          // another instance goes on with the answer
	original            originalRequest      // never changed
	previous            originalRequest      // of an earlier execution of the same answer here, whose caller was not seen to leave
	originals           chan originalRequest // the request, from whoever began the answer; closed when nothing more comes
}

func (r *Runner) newExecution(ctx context.Context, request *Request, sink Sink) *execution {
	bounded, cancel := context.WithDeadline(ctx, request.Deadline)
	e := &execution{
		runner:        r,
		request:       request,
		sink:          sink,
		states:        newStateMachine(request.ID, request.Entry, r.observer()),
		latency:       r.latencies.ForEntry(request.Entry),
		budget:        r.RetryBudgets.ForEntry(request.Entry),
		callerContext: ctx,
		ctx:           bounded,
		cancel:        cancel,
		bodyHash:      hashBody(request.Body),
		original:      originalRequest{Path: request.Path, Body: request.Body},
	}
	r.register(e)
	return e
}

func (e *execution) close() {
	e.closeStream()
	e.runner.unregister(e)
	e.cancel()
}

func (e *execution) closeStream() {
	if e.stream == nil {
		return
	}
	_ = e.stream.Close()
	e.stream = nil
}

// runAttempts dispatches generations until one of them ends the answer; cause is why a former one was lost, nil at first.
func (e *execution) runAttempts(cause error) Result {
	for {
		if cause != nil {
			if result, final := e.prepareRetry(cause); final {
				return result
			}
		}
		err := e.runGeneration()
		if err == nil {
			return e.finish()
		}
		if result, final := e.handleFailure(err); final {
			return result
		}
		cause = err
	}
}

// runGeneration runs one generation to its last token.
func (e *execution) runGeneration() error {
	if err := e.acquireSlot(); err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	return e.readToLastToken()
}

// acquireSlot waits for a place; after failures, endpoints that failed are asked again when no other takes work.
func (e *execution) acquireSlot() error {
	e.states.transition(StateQueued, "")
	slot, err := e.runner.Router.Acquire(e.ctx, &e.request.Ask)
	refusal, refused := errors.AsType[*routing.RefusalError](err)
	if refused && refusal.Reason == routing.ReasonNoEndpoint && len(e.request.Ask.Exclude) > 0 {
		e.request.Ask.Exclude = nil
		slot, err = e.runner.Router.Acquire(e.ctx, &e.request.Ask)
	}
	if err != nil {
		return err
	}
	e.slot = slot
	return nil
}

// start dispatches the generation; an engine that does not answer in time is asked on a new connection.
func (e *execution) start() error {
	e.attempt++
	e.location = location{endpoint: e.slot.Endpoint(), generation: generationName(e.request.ID, e.attempt)}
	if e.evidence.delivered > 0 {
		e.filter.Replay(e.location.generation)
	} else {
		e.filter = NewFilter(e.location.generation)
	}
	e.states.transition(StateDispatched, e.location.endpoint.String())
	e.reconnects = 0
	e.lastProgress = time.Now()
	e.tokenDeadline = e.lastProgress.Add(e.latency.firstToken.currentTimeout())
	ctx, cancel := context.WithDeadline(e.ctx, e.tokenDeadline)
	defer cancel()
	stream, err := e.runner.Engines.Start(ctx, e.location.endpoint, e.location.generation, e.request)
	if errors.Is(err, ErrNotStarted) {
		return err
	}
	e.evidence.mayHaveRun = true
	if err != nil {
		return e.reconnect(e.classifyReadError(ctx, err))
	}
	e.stream = stream
	e.enterReadingState()
	return nil
}

// enterReadingState enters the state in which tokens are awaited.
func (e *execution) enterReadingState() {
	state := StateDispatched
	switch {
	case e.filter.Verifying():
		state = StateReplaying
	case e.filter.next > 0:
		state = StateStreaming
	}
	if e.states.state != state {
		e.states.transition(state, "")
	}
}

// readToLastToken reads the generation to its last token.
func (e *execution) readToLastToken() error {
	for !e.filter.ended {
		token, err := e.readEvent()
		if err == nil {
			err = e.processEvent(token)
		}
		if err != nil {
			err = e.reconnect(err)
		}
		if err != nil {
			return err
		}
	}
	return e.readTrailing()
}

// readEvent waits for the next event until the progress deadline.
func (e *execution) readEvent() (Token, error) {
	ctx, cancel := context.WithDeadline(e.ctx, e.tokenDeadline)
	defer cancel()
	token, err := e.stream.Next(ctx)
	if err == nil {
		return token, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return Token{}, e.classifyReadError(ctx, err)
}

// classifyReadError tells a passed progress deadline, and the end of the whole answer, from other failures.
func (e *execution) classifyReadError(ctx context.Context, err error) error {
	if contextErr := e.contextError(); contextErr != nil {
		return contextErr
	}
	if ctx.Err() != nil {
		return errTokenTimeout
	}
	return err
}

// contextError reports a caller who left or a passed deadline of the whole answer.
func (e *execution) contextError() error {
	if e.callerContext.Err() != nil {
		return errCallerLeft
	}
	return e.ctx.Err()
}

// processEvent passes one event through the filter; an error means that this connection is of no more use.
func (e *execution) processEvent(token Token) error {
	verdict := e.filter.Accept(token)
	switch verdict {
	case VerdictPass, VerdictVerified:
		return e.acceptToken(token, verdict)
	case VerdictMismatch:
		e.runner.observer().Replayed(e.request.ID, e.request.Entry, false)
		return errReplayDiffers
	case VerdictGap:
		e.reportDropped(verdict)
		return errGap
	default:
		e.reportDropped(verdict)
		return nil
	}
}

func (e *execution) reportDropped(verdict Verdict) {
	e.runner.observer().Dropped(e.request.ID, e.request.Entry, verdict)
}

// acceptToken counts progress and hands a token that the caller does not have to it.
func (e *execution) acceptToken(token Token, verdict Verdict) error {
	now := time.Now()
	if e.filter.next == 1 {
		e.latency.firstToken.observe(now.Sub(e.lastProgress))
	} else {
		e.latency.nextToken.observe(now.Sub(e.lastProgress))
	}
	e.lastProgress = now
	e.tokenDeadline = now.Add(e.latency.nextToken.currentTimeout())
	e.reconnects = 0
	e.evidence.ran = true
	if e.slot != nil {
		e.slot.Token(now)
	}
	if verdict == VerdictVerified {
		return e.advanceReplay()
	}
	if e.states.state != StateStreaming {
		e.states.transition(StateStreaming, "")
	}
	return e.deliver(token)
}

// advanceReplay follows a replay until it has reached what the caller has.
func (e *execution) advanceReplay() error {
	if e.states.state == StateDispatched {
		e.states.transition(StateReplaying, "")
	}
	if e.filter.Verifying() {
		return nil
	}
	e.runner.observer().Replayed(e.request.ID, e.request.Entry, true)
	e.states.transition(StateStreaming, "replay verified")
	return nil
}

// deliver hands a token to the caller, or holds it until the answer is whole.
func (e *execution) deliver(token Token) error {
	if e.request.Buffered {
		e.bufferedBytes += len(token.Data) + len(token.Text)
		if e.bufferedBytes > maximumBufferedBytes {
			return errTooLarge
		}
		e.buffered = append(e.buffered, token)
		return nil
	}
	if err := e.sink.Deliver(token, e.resumeToken()); err != nil {
		return errCallerLeft
	}
	e.evidence.delivered = e.filter.delivered
	// The caller's own pace must not count as the engine's silence.
	e.lastProgress = time.Now()
	e.tokenDeadline = e.lastProgress.Add(e.latency.nextToken.currentTimeout())
	return nil
}
