package call

import (
	"errors"
	"io"
)

// errCaller reports a caller who left.
var errCaller = errors.New("the caller left")

// begin gives the caller the status and headers.
func (c *course) begin() error {
	c.begun = true
	if err := c.sink.Begin(c.reply.Status, ResponseHeader(c.reply.Header)); err != nil {
		return errCaller
	}
	return nil
}

// relay passes the rest of the response on as it comes; the error of what went before ends it at once.
func (c *course) relay(err error) error {
	buffer := make([]byte, relayBytes)
	for err == nil {
		var count int
		count, err = c.reply.Body.Read(buffer)
		if count > 0 && c.sink.Write(buffer[:count]) != nil {
			return errCaller
		}
	}
	if errors.Is(err, io.EOF) && !errors.Is(err, io.ErrUnexpectedEOF) {
		c.stage = stageWhole
		return nil
	}
	return err
}

// collect reads the response of a call that may not be repeated before the caller gets any of it, so that a response that
// breaks off early can still be told as such; from MaximumKeptBytes on it is passed on as it comes. It returns what is to be kept.
func (c *course) collect() (*kept, error) {
	body, err := io.ReadAll(io.LimitReader(c.reply.Body, MaximumKeptBytes+1))
	if err != nil {
		return &kept{Reason: ReasonResponseCut, Status: c.reply.Status}, err
	}
	k := &kept{Status: c.reply.Status, Header: ResponseHeader(c.reply.Header), Body: body}
	if len(body) > MaximumKeptBytes {
		k = &kept{Reason: ReasonResponseLarge, Status: c.reply.Status}
	} else {
		c.stage = stageWhole
	}
	err = c.begin()
	if err == nil && c.sink.Write(body) != nil {
		err = errCaller
	}
	if c.stage == stageWhole {
		return k, err
	}
	return k, c.relay(err)
}
