package relay

import (
	"net/http"
	"time"
)

// The states of the beginning of an answer. Of the head and the end of an unbegun request, the first one decides.
const (
	beginningOpen      int32 = iota // neither has come
	beginningPassed                 // the head was passed, so the answer goes on until connections close
	beginningWithdrawn              // the request was ended
)

// endUnbegun ends the request unless its answer has begun, so that its caller gets an answer while that can still be sent.
func (x *execution) endUnbegun(end func(cause error)) {
	if x.beginning.CompareAndSwap(beginningOpen, beginningWithdrawn) {
		end(errClosing)
	}
}

// passHead has the head of a stream sent to the caller unless that has been done. It returns errClosing if the request has been ended before.
func (x *execution) passHead(status int, header http.Header) error {
	if x.result.Begun {
		return nil
	}
	if !x.beginning.CompareAndSwap(beginningOpen, beginningPassed) {
		<-x.ctx.Done() // its end follows at once
		return errClosing
	}
	x.begin(status, header)
	return nil
}

// begin has the head of the answer sent to the caller.
func (x *execution) begin(status int, header http.Header) {
	x.beginning.Store(beginningPassed)
	x.result.Begun = true
	x.result.BegunAt = time.Now()
	x.outbox.begin(status, header)
}
