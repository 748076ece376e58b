package answer

import (
	"bytes"
	"time"
)

// resume continues the generation that the resume token names.
func (e *execution) resume(token *ResumeToken) Result {
	e.attempt = token.Attempt
	e.location = location{endpoint: token.Endpoint, generation: token.Generation()}
	e.filter = resumeFilter(e.location.generation, token.Delivered, token.DeliveredHash)
	e.filter.ended = token.Ended
	e.evidence = evidence{mayHaveRun: true, ran: token.Delivered > 0, delivered: token.Delivered}
	e.bodyDiffers = !bytes.Equal(e.bodyHash, token.BodyHash)
	e.bodyHash = token.BodyHash
	if token.Ended {
		return e.end(StateFinished, OutcomeFinished, nil)
	}
	e.resumed = true
	e.resumedFrom = token.Delivered
	e.originals = make(chan originalRequest, 3) // room for one request from each possible source
	e.originals <- e.previous
	if d := e.runner.takeDetached(e.request.ID); d != nil {
		e.slot = d.slot
		e.originals <- d.original
	}
	e.runner.notifyOrigin(e, token.Origin)
	e.lastProgress = time.Now()
	err := e.reconnect(errCallerReturned)
	if err == nil {
		err = e.readToLastToken()
	}
	if err == nil {
		return e.finish()
	}
	if result, final := e.handleFailure(err); final {
		return result
	}
	return e.runAttempts(err)
}

// resumeToken returns a signed token for resuming the answer after the tokens delivered so far, or "" if it can't be signed.
func (e *execution) resumeToken() string {
	text, err := e.runner.Signer.Sign(&ResumeToken{
		Answer:        e.request.ID,
		Entry:         e.request.Entry,
		Attempt:       e.attempt,
		Endpoint:      e.location.endpoint,
		Origin:        e.runner.Self,
		Delivered:     e.resumePosition(),
		DeliveredHash: e.resumeHash(),
		Ended:         e.filter.ended && !e.request.Buffered,
		Deadline:      time.Now().Add(e.runner.tokenLifetime()).Unix(),
		BodyHash:      e.bodyHash,
	}, e.request.Workspace)
	if err != nil {
		return ""
	}
	return text
}

// resumePosition returns the index of the first token to read after a resume; a buffered answer is read again from its start.
func (e *execution) resumePosition() int {
	if e.request.Buffered {
		return 0
	}
	return e.filter.delivered
}

// resumeHash returns the rolling hash of the tokens before the resume position.
func (e *execution) resumeHash() uint64 {
	if e.request.Buffered {
		return 0
	}
	return e.filter.deliveredHash
}
