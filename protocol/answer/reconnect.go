package answer

import (
	"context"
	"errors"
	"fmt"
	"time"

	"dogwooddyke/internal/wait"
)

// reconnect opens a new connection to the same generation, because a connection can break while its engine keeps running.
// It returns nil once a connection is open, the cause if a new connection can't help, or else the reason why the generation has to be
// abandoned.
func (e *execution) reconnect(cause error) error {
	if !e.canReconnect(cause) {
		return cause
	}
	e.closeStream()
	if errors.Is(cause, errProgressTimeout) {
		e.states.transition(StateSilent, detailOf(cause))
	}
	for failures := 0; ; {
		if e.reconnects >= maximumReconnects {
			return errNoProgress
		}
		e.reconnects++
		err := e.openConnection(cause)
		if err == nil {
			return nil
		}
		if contextErr := e.contextError(); contextErr != nil {
			return contextErr
		}
		if errors.Is(err, ErrUnknownGeneration) {
			return errGenerationLost
		}
		delay := reconnectPause
		if _, refused := errors.AsType[*RefusedError](err); refused {
			delay = refusedReconnectPause
		} else {
			failures++
		}
		if failures >= maximumReconnectFailures {
			return fmt.Errorf("%w: %w", errUnreachable, err)
		}
		if err := wait.For(e.ctx, delay); err != nil {
			return e.contextError()
		}
	}
}

// canReconnect reports whether a new connection to the same engine can help.
func (e *execution) canReconnect(cause error) bool {
	for _, final := range []error{errCallerLeft, errReplayDiffers, errTooLarge} {
		if errors.Is(cause, final) {
			return false
		}
	}
	return e.contextError() == nil
}

// openConnection requests the rest of the generation from the engine; the timeout doubles with each attempt since the last token.
func (e *execution) openConnection(cause error) error {
	if e.states.state != StateResuming {
		e.states.transition(StateResuming, detailOf(cause))
	}
	e.runner.observer().Resumed(e.request.ID, e.request.Entry)
	timeout := e.progressTimeout()
	ctx, cancel := context.WithTimeout(e.ctx, max(timeout, reconnectTimeout))
	defer cancel()
	stream, err := e.runner.Engines.Resume(ctx, e.location.endpoint, e.location.generation, e.filter.next)
	if err != nil {
		return err
	}
	e.stream = stream
	e.progressDeadline = time.Now().Add(timeout)
	e.enterReadingState()
	return nil
}

// progressTimeout returns how long the new connection may deliver no token; it doubles with each attempt since the last token.
func (e *execution) progressTimeout() time.Duration {
	if e.filter.next == 0 {
		return e.latency.firstToken.currentTimeout() << (e.reconnects - 1)
	}
	return e.latency.nextToken.currentTimeout() << (e.reconnects - 1)
}
