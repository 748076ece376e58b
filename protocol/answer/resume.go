package answer

import (
	"bytes"
	"time"
)

// resume goes on with the generation that the token names.
func (e *execution) resume(token *ResumeToken) Result {
	e.attempt = token.Attempt
	e.place = place{endpoint: token.Endpoint, generation: token.Generation()}
	e.filter = continueFilter(e.place.generation, token.Delivered, token.DeliveredHash)
	e.filter.ended = token.Ended
	e.evidence = evidence{mayHaveRun: true, ran: token.Delivered > 0, delivered: token.Delivered}
	e.otherBody = !bytes.Equal(e.bodySum, token.BodyHash)
	e.bodySum = token.BodyHash
	if token.Ended {
		return e.end(StateFinished, OutcomeFinished, nil)
	}
	e.resumed = true
	e.resumedFrom = token.Delivered
	e.brought = make(chan original, 3) // one place for each of its sources
	e.brought <- e.former
	if l := e.runner.adopt(e.request.ID); l != nil {
		e.slot = l.slot
		e.brought <- l.original
	}
	e.runner.noticeLater(e, token.Origin)
	e.progress = time.Now()
	err := e.reopen(errReturned)
	if err == nil {
		err = e.pump()
	}
	if err == nil {
		return e.finish()
	}
	if result, final := e.afterFailure(err); final {
		return result
	}
	return e.attempts(err)
}

// resumeToken signs where the caller is.
func (e *execution) resumeToken() string {
	text, err := e.runner.Signer.Sign(&ResumeToken{
		Answer:        e.request.ID,
		Entry:         e.request.Entry,
		Attempt:       e.attempt,
		Endpoint:      e.place.endpoint,
		Origin:        e.runner.Self,
		Delivered:     e.tokenPosition(),
		DeliveredHash: e.tokenSum(),
		Ended:         e.filter.ended && !e.request.Buffered,
		Deadline:      time.Now().Add(e.runner.tokenLife()).Unix(),
		BodyHash:      e.bodySum,
	}, e.request.Workspace)
	if err != nil {
		return ""
	}
	return text
}

// tokenPosition is the first token to read on from; a whole answer is read again from its start.
func (e *execution) tokenPosition() int {
	if e.request.Buffered {
		return 0
	}
	return e.filter.delivered
}

func (e *execution) tokenSum() uint64 {
	if e.request.Buffered {
		return 0
	}
	return e.filter.wanted
}
