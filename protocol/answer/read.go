package answer

import (
	"context"
	"errors"
	"io"
	"time"
)

// readToLastToken reads the generation up to its last token and the events after it, and reconnects after each failure.
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

// readEvent reads the next event, or fails at the progress deadline.
func (e *execution) readEvent() (Token, error) {
	ctx, cancel := context.WithDeadline(e.ctx, e.progressDeadline)
	defer cancel()
	token, err := e.stream.Next(ctx)
	if err == nil {
		return token, nil
	}
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return Token{}, e.classifyError(ctx, err)
}

// classifyError returns the cause for a call to the engine that failed with err: the error that ended the answer if it has ended,
// errProgressTimeout if the call's own context ctx has ended, and err otherwise.
func (e *execution) classifyError(ctx context.Context, err error) error {
	if contextErr := e.contextError(); contextErr != nil {
		return contextErr
	}
	if ctx.Err() != nil {
		return errProgressTimeout
	}
	return err
}

// contextError returns errCallerLeft if the caller has disconnected, an error if the answer's deadline has passed, and else nil.
func (e *execution) contextError() error {
	if e.callerContext.Err() != nil {
		return errCallerLeft
	}
	return e.ctx.Err()
}

// processEvent filters one event; after an error, the connection must not be read any further.
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

// reportDropped informs the observer that an event was not delivered.
func (e *execution) reportDropped(verdict Verdict) {
	e.runner.observer().Dropped(e.request.ID, e.request.Entry, verdict)
}

// acceptToken records progress. It delivers the token, except a verified token of a replay, which the caller already has.
func (e *execution) acceptToken(token Token, verdict Verdict) error {
	now := time.Now()
	if e.filter.next == 1 {
		e.latency.firstToken.observe(now.Sub(e.lastProgress))
	} else {
		e.latency.nextToken.observe(now.Sub(e.lastProgress))
	}
	e.lastProgress = now
	e.progressDeadline = now.Add(e.latency.nextToken.currentTimeout())
	e.reconnects = 0
	e.evidence.ran = true
	if e.filter.next == answeredTokens {
		e.screening.Begun(now)
	}
	if token.Last {
		e.screening.Answered(now)
	}
	if e.slot != nil {
		e.slot.RecordToken(now)
	}
	if verdict == VerdictVerified {
		return e.advanceReplay()
	}
	if e.states.state != StateStreaming {
		e.states.transition(StateStreaming, "")
	}
	return e.deliver(token)
}

// advanceReplay records a verified token of a replay and enters StateStreaming once all delivered tokens have been verified.
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

// deliver sends a token to the caller, or buffers it if the answer is delivered in one piece.
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
	// Time that the caller takes to accept a token must not count against the engine's progress deadline.
	e.lastProgress = time.Now()
	e.progressDeadline = e.lastProgress.Add(e.latency.nextToken.currentTimeout())
	return nil
}
