package answer

import (
	"context"
	"errors"
	"net/http"
	"sync/atomic"
	"time"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/prompt"
)

// execution processes one answer for one caller connection. It is used by one goroutine, except superseded and original,
// which other goroutines read or set under Runner.mutex.
type execution struct {
	runner              *Runner
	request             *Request
	sink                Sink
	states              *stateMachine
	screening           *quarantine.Screening
	latency             *TokenLatency   // token latency of the entry
	budget              *RetryBudget    // retry budget of the entry
	callerContext       context.Context // ends when the caller disconnects
	ctx                 context.Context // derived from callerContext; also ends at the answer's deadline
	cancel              context.CancelFunc
	filter              *Filter  // nil until the first generation is started or resumed
	slot                Slot     // slot of the current generation; nil if the execution holds none
	stream              Stream   // current connection to the engine; nil if there is none
	location            location // current generation and its endpoint
	attempt             int      // number of the current generation, from 1
	unstartedDispatches int      // dispatches that are known not to have started a generation
	lostGenerations     int      // generations that may have run and were lost
	evidence            evidence
	buffered            []Token              // tokens of a buffered answer, delivered when the answer is complete
	bufferedBytes       int                  // size of the buffered tokens
	lastProgress        time.Time            // when the last token was read or delivered, or the generation was dispatched or resumed
	progressDeadline    time.Time            // by when the next token must arrive
	reconnects          int                  // attempts to open a new connection since the last token
	bodyHash            []byte               // hash of the body that the delivered tokens were generated from
	bodyDiffers         bool                 // the request's body has another hash than bodyHash
	resumed             bool                 // the execution reads a generation that another execution started
	resumedFrom         int                  // tokens that the caller had when it resumed the answer
	superseded          atomic.Bool          // another execution, here or at another instance, has resumed the answer
	original            originalRequest      // the request as received; immutable
	previous            originalRequest      // request of an earlier execution of the answer at this instance that has not yet ended
	originals           chan originalRequest // requests of earlier executions of the answer; closed after the last one
}

// newExecution returns a registered execution; the caller must close it.
func (r *Runner) newExecution(ctx context.Context, request *Request, sink Sink) *execution {
	bounded, cancel := context.WithDeadline(ctx, request.Deadline)
	e := &execution{
		runner:        r,
		request:       request,
		sink:          sink,
		screening:     r.Quarantine.Screen(request.Parts, prompt.PartOfRequest(request.Entry, http.MethodPost, request.Path, request.Workspace, request.Body)),
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

// close closes the stream, unregisters the execution and ends its context.
func (e *execution) close() {
	e.closeStream()
	e.screening.End()
	e.runner.unregister(e)
	e.cancel()
}

// closeStream closes the current stream, if there is one.
func (e *execution) closeStream() {
	if e.stream == nil {
		return
	}
	_ = e.stream.Close()
	e.stream = nil
}

// runAttempts dispatches generations until the answer ends; cause is the error that ended the previous generation, or nil if there
// was none.
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
	if err := e.acquireAdmitted(); err != nil {
		return err
	}
	err := e.start()
	if err == nil {
		err = e.readToLastToken()
	}
	e.noteCrash(err)
	return err
}

// acquireSlot waits for a slot on an endpoint. If no endpoint is left because the request excludes those that failed before, it
// clears the exclusions and tries again.
func (e *execution) acquireSlot() error {
	e.states.transition(StateQueued, "")
	slot, err := e.runner.Router.Acquire(e.ctx, &e.request.Spec)
	refusal, refused := errors.AsType[*routing.RefusalError](err)
	if refused && refusal.Reason == routing.ReasonNoEndpoint && len(e.request.Spec.Exclude) > 0 {
		e.request.Spec.Exclude = nil
		slot, err = e.runner.Router.Acquire(e.ctx, &e.request.Spec)
	}
	if err != nil {
		return err
	}
	e.slot = slot
	return nil
}

// start dispatches a new generation. If the call fails but the engine may have started the generation, start reconnects to it.
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
	e.progressDeadline = e.lastProgress.Add(e.latency.firstToken.currentTimeout())
	ctx, cancel := context.WithDeadline(e.ctx, e.progressDeadline)
	defer cancel()
	stream, err := e.runner.Engines.Start(ctx, e.location.endpoint, e.location.generation, e.request)
	if errors.Is(err, ErrNotStarted) {
		return err
	}
	e.evidence.mayHaveRun = true
	if err != nil {
		return e.reconnect(e.classifyError(ctx, err))
	}
	e.stream = stream
	e.enterReadingState()
	return nil
}

// enterReadingState enters the state that matches the tokens read so far: dispatched, replaying or streaming.
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
