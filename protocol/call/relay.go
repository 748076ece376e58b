package call

import (
	"errors"
	"io"
)

// errCallerLeft reports that the caller disconnected.
var errCallerLeft = errors.New("caller left")

// begin sends the status and headers of the response to the caller.
func (x *execution) begin() error {
	x.begun = true
	if err := x.sink.Begin(x.response.Status, ResponseHeader(x.response.Header)); err != nil {
		return errCallerLeft
	}
	return nil
}

// relayBody forwards the rest of the response to the caller as it is received. If err, the error of the preceding step, is not nil,
// relayBody forwards nothing and returns it.
func (x *execution) relayBody(err error) error {
	buffer := make([]byte, relayBufferBytes)
	for err == nil {
		var count int
		count, err = x.response.Body.Read(buffer)
		if count > 0 && x.sink.Write(buffer[:count]) != nil {
			return errCallerLeft
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		x.stage = stageComplete
		return nil
	}
	return err
}

// collect buffers the response of a call that may not be repeated before any of it is sent to the caller, so that a response that
// breaks off early can still be reported as an error. Responses longer than MaximumKeptBytes are forwarded as they are received after
// that many bytes. It returns what is to be stored in the log.
func (x *execution) collect() (*kept, error) {
	body, err := io.ReadAll(io.LimitReader(x.response.Body, MaximumKeptBytes+1))
	if err != nil {
		return &kept{Reason: ReasonResponseCut, Status: x.response.Status}, err
	}
	k := &kept{Status: x.response.Status, Header: ResponseHeader(x.response.Header), Body: body}
	if len(body) > MaximumKeptBytes {
		k = &kept{Reason: ReasonResponseLarge, Status: x.response.Status}
	} else {
		x.stage = stageComplete
	}
	err = x.begin()
	if err == nil && x.sink.Write(body) != nil {
		err = errCallerLeft
	}
	if x.stage == stageComplete {
		return k, err
	}
	return k, x.relayBody(err)
}
