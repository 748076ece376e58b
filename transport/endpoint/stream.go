package endpoint

import (
	"context"
	"errors"
	"io"

	"github.com/samber/oops"
	"github.com/tidwall/gjson"
	"github.com/tidwall/sjson"

	"dogwooddyke/protocol/answer"
)

// errChunk reports an event that is not a chunk of a generation.
var errChunk = errors.New("malformed chunk")

// stream reads tokens from one response; it is used by one goroutine at a time.
type stream struct {
	body   io.Closer
	cancel context.CancelFunc
	events *events
	done   bool
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	return &stream{body: body, cancel: cancel, events: newEvents(body)}
}

// Next returns the next event, io.EOF after the engine's end mark, or the context's error, after which the stream is of no more use.
func (s *stream) Next(ctx context.Context) (answer.Token, error) {
	if s.done {
		return answer.Token{}, io.EOF
	}
	if err := ctx.Err(); err != nil {
		return answer.Token{}, err
	}
	stop := context.AfterFunc(ctx, s.cancel)
	data, err := s.events.next()
	if !stop() {
		return answer.Token{}, ctx.Err()
	}
	if err != nil {
		return answer.Token{}, oops.Wrapf(err, "read stream")
	}
	if data == doneData {
		s.done = true
		return answer.Token{}, io.EOF
	}
	return parseChunk(data)
}

// Close ends the connection; the generation goes on.
func (s *stream) Close() error {
	s.cancel()
	return s.body.Close()
}

// parseChunk reads one engine chunk and takes the engine's own fields out of what callers get.
func parseChunk(data string) (answer.Token, error) {
	if !gjson.Valid(data) {
		return answer.Token{}, oops.Wrapf(errChunk, "not JSON")
	}
	chunk := gjson.Parse(data)
	if !chunk.IsObject() {
		return answer.Token{}, oops.Wrapf(errChunk, "not an object")
	}
	if failure := chunk.Get("error"); failure.Exists() {
		return answer.Token{}, oops.Wrapf(errChunk, "engine error: %.200s", failure.Raw)
	}
	token := answer.Token{Generation: chunk.Get("generation").String(), Index: answer.NoIndex}
	if index := chunk.Get("index"); index.Exists() {
		if index.Type != gjson.Number || index.Num < 0 || index.Num != float64(index.Int()) {
			return answer.Token{}, oops.Wrapf(errChunk, "index %.40s", index.Raw)
		}
		token.Index = int(index.Int())
	}
	readChoice(&token, chunk.Get("choices.0"))
	raw := []byte(data)
	for _, field := range []string{"generation", "index"} {
		trimmed, err := sjson.DeleteBytes(raw, field)
		if err != nil {
			return answer.Token{}, oops.Wrapf(errChunk, "field %s", field)
		}
		raw = trimmed
	}
	token.Data = raw
	return token, nil
}

// readChoice takes what a token says from its choice: the text, the rest of the delta, and whether it is the last one.
func readChoice(token *answer.Token, choice gjson.Result) {
	if !choice.Exists() {
		return
	}
	if reason := choice.Get("finish_reason"); reason.Exists() && reason.Type != gjson.Null {
		token.Last = true
		token.Extra = reason.Raw
	}
	if text := choice.Get("text"); text.Exists() {
		token.Text = text.String()
		return
	}
	choice.Get("delta").ForEach(func(key, value gjson.Result) bool {
		switch key.String() {
		case "content":
			token.Text = value.String()
		case "role":
		default:
			token.Extra += key.Raw + value.Raw
		}
		return true
	})
}
