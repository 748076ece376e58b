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
	runner      *Runner
	request     *Request
	sink        Sink
	life        *life
	pace        *Pace
	budget      *Budget
	caller      context.Context // ends when the caller leaves
	ctx         context.Context // ends also at the answer's deadline
	cancel      context.CancelFunc
	filter      *Filter
	slot        Slot // nil while there is none
	stream      Stream
	place       place
	attempt     int // number of the current generation
	unstarted   int // dispatches that did not start
	lost        int // generations that may have run
	evidence    evidence
	held        []Token // of an answer in one piece
	heldBytes   int
	progress    time.Time // when the last token came, or the dispatch
	deadline    time.Time // of the next token
	fruitless   int       // new connections since the last token
	bodySum     []byte
	otherBody   bool          // the body is not the one of the generation that the caller has a part of
	resumed     bool          // reads a generation that another execution started
	resumedFrom int           // tokens that the caller had when it came back
	elsewhere   atomic.Bool   // another instance goes on with the answer
	original    original      // never changed
	former      original      // of an earlier execution of the same answer here, whose caller was not seen to leave
	brought     chan original // the request, from whoever began the answer; closed when nothing more comes
}

func (r *Runner) newExecution(ctx context.Context, request *Request, sink Sink) *execution {
	bounded, cancel := context.WithDeadline(ctx, request.Deadline)
	e := &execution{
		runner:   r,
		request:  request,
		sink:     sink,
		life:     newLife(request.ID, request.Entry, r.observer()),
		pace:     r.paces.Of(request.Entry),
		budget:   r.Budget.Of(request.Entry),
		caller:   ctx,
		ctx:      bounded,
		cancel:   cancel,
		bodySum:  bodySum(request.Body),
		original: original{Path: request.Path, Body: request.Body},
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

// attempts dispatches generations until one of them ends the answer; cause is why a former one was lost, nil at first.
func (e *execution) attempts(cause error) Result {
	for {
		if cause != nil {
			if result, final := e.beforeRetry(cause); final {
				return result
			}
		}
		err := e.generate()
		if err == nil {
			return e.finish()
		}
		if result, final := e.afterFailure(err); final {
			return result
		}
		cause = err
	}
}

// generate runs one generation to its last token.
func (e *execution) generate() error {
	if err := e.acquire(); err != nil {
		return err
	}
	if err := e.start(); err != nil {
		return err
	}
	return e.pump()
}

// acquire waits for a place; after failures, endpoints that failed are asked again when no other takes work.
func (e *execution) acquire() error {
	e.life.move(StateQueued, "")
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
	e.place = place{endpoint: e.slot.Endpoint(), generation: generationName(e.request.ID, e.attempt)}
	if e.evidence.delivered > 0 {
		e.filter.Replay(e.place.generation)
	} else {
		e.filter = NewFilter(e.place.generation)
	}
	e.life.move(StateDispatched, e.place.endpoint.String())
	e.fruitless = 0
	e.progress = time.Now()
	e.deadline = e.progress.Add(e.pace.first.wait())
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	stream, err := e.runner.Engines.Start(ctx, e.place.endpoint, e.place.generation, e.request)
	if errors.Is(err, ErrNotStarted) {
		return err
	}
	e.evidence.mayHaveRun = true
	if err != nil {
		return e.reopen(e.silence(ctx, err))
	}
	e.stream = stream
	e.settle()
	return nil
}

// settle enters the state in which tokens are awaited.
func (e *execution) settle() {
	state := StateDispatched
	switch {
	case e.filter.Verifying():
		state = StateReplaying
	case e.filter.next > 0:
		state = StateStreaming
	}
	if e.life.state != state {
		e.life.move(state, "")
	}
}

// pump reads the generation to its last token.
func (e *execution) pump() error {
	for !e.filter.ended {
		token, err := e.read()
		if err == nil {
			err = e.take(token)
		}
		if err != nil {
			err = e.reopen(err)
		}
		if err != nil {
			return err
		}
	}
	return e.readTrailing()
}

// read waits for the next event until the progress deadline.
func (e *execution) read() (Token, error) {
	ctx, cancel := context.WithDeadline(e.ctx, e.deadline)
	defer cancel()
	token, err := e.stream.Next(ctx)
	if err == nil {
		return token, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return Token{}, e.silence(ctx, err)
}

// silence tells a passed progress deadline, and the end of the whole answer, from other failures.
func (e *execution) silence(ctx context.Context, err error) error {
	if ended := e.ended(); ended != nil {
		return ended
	}
	if ctx.Err() != nil {
		return errSilent
	}
	return err
}

// ended reports a caller who left or a passed deadline of the whole answer.
func (e *execution) ended() error {
	if e.caller.Err() != nil {
		return errCaller
	}
	return e.ctx.Err()
}

// take passes one event through the filter; an error means that this connection is of no more use.
func (e *execution) take(token Token) error {
	verdict := e.filter.Accept(token)
	switch verdict {
	case VerdictPass, VerdictVerified:
		return e.accept(token, verdict)
	case VerdictMismatch:
		e.runner.observer().Replayed(e.request.ID, e.request.Entry, false)
		return errReplay
	case VerdictGap:
		e.drop(verdict)
		return errGap
	default:
		e.drop(verdict)
		return nil
	}
}

func (e *execution) drop(verdict Verdict) {
	e.runner.observer().Dropped(e.request.ID, e.request.Entry, verdict)
}

// accept counts progress and hands a token that the caller does not have to it.
func (e *execution) accept(token Token, verdict Verdict) error {
	now := time.Now()
	if e.filter.next == 1 {
		e.pace.first.observe(now.Sub(e.progress))
	} else {
		e.pace.between.observe(now.Sub(e.progress))
	}
	e.progress = now
	e.deadline = now.Add(e.pace.between.wait())
	e.fruitless = 0
	e.evidence.ran = true
	if e.slot != nil {
		e.slot.RecordToken(now)
	}
	if verdict == VerdictVerified {
		return e.verified()
	}
	if e.life.state != StateStreaming {
		e.life.move(StateStreaming, "")
	}
	return e.deliver(token)
}

// verified follows a replay until it has reached what the caller has.
func (e *execution) verified() error {
	if e.life.state == StateDispatched {
		e.life.move(StateReplaying, "")
	}
	if e.filter.Verifying() {
		return nil
	}
	e.runner.observer().Replayed(e.request.ID, e.request.Entry, true)
	e.life.move(StateStreaming, "replay verified")
	return nil
}

// deliver hands a token to the caller, or holds it until the answer is whole.
func (e *execution) deliver(token Token) error {
	if e.request.Whole {
		e.heldBytes += len(token.Data) + len(token.Text)
		if e.heldBytes > maximumHeldBytes {
			return errTooLarge
		}
		e.held = append(e.held, token)
		return nil
	}
	if err := e.sink.Deliver(token, e.resumeToken()); err != nil {
		return errCaller
	}
	e.evidence.delivered = e.filter.delivered
	// The caller's own pace must not count as the engine's silence.
	e.progress = time.Now()
	e.deadline = e.progress.Add(e.pace.between.wait())
	return nil
}
