package answer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
)

// Request is one generation that a caller asked for.
type Request struct {
	ID         string // answer id, unique over the fleet
	Entry      string
	Workspace  string
	Class      string
	Path       string // of the engine's API, such as /v1/chat/completions
	Body       []byte // JSON that the engine gets; streamed, with the seed set
	Repeatable bool   // a second generation from the same body gives the same tokens
	Whole      bool   // the caller takes the answer in one piece, so nothing is delivered before the end
	Usage      bool   // an event with the usage follows the last token
	Ask        routing.RequestSpec
	Deadline   time.Time // of the whole answer
}

// Token is one event of a generation; Data is the engine's OpenAI chunk.
type Token struct {
	Generation string
	Index      int // from 0, without gaps; NoIndex for an event that carries no token
	Text       string
	Extra      string // what else the engine said, such as tool calls and the finish reason
	Data       json.RawMessage
	Last       bool // carries the finish reason; no token follows
}

// Stream reads the events of one connection to an engine.
type Stream interface {
	// Next returns the next event, io.EOF after the end, or the context's error, after which the stream is of no more use.
	Next(ctx context.Context) (Token, error)
	Close() error
}

// Engines starts, resumes and cancels generations on endpoints; the contexts bound the calls, not the streams that they return.
type Engines interface {
	// Start dispatches a new generation; an error that wraps ErrNotStarted means that the engine did not start it.
	Start(ctx context.Context, endpoint netip.AddrPort, generation string, request *Request) (Stream, error)
	// Resume opens a new connection to a generation, from the index on; ErrUnknownGeneration means that the engine does not have it.
	Resume(ctx context.Context, endpoint netip.AddrPort, generation string, from int) (Stream, error)
	Cancel(ctx context.Context, endpoint netip.AddrPort, generation string) error
}

// Sink takes the tokens for the caller, in order, each once; an error means that the caller has left.
type Sink interface {
	Deliver(token Token, resume string) error
}
