package answer

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/prompt"
)

// Request is a caller's request for one generation.
type Request struct {
	ID           string              // answer id, unique within the fleet
	Entry        string              // name of the catalogue entry
	Workspace    string              // name of the workspace
	Class        string              // class of the entry
	Path         string              // path in the engine's API, such as /v1/chat/completions
	Body         []byte              // JSON body for the engine, with streaming enabled and the seed set
	Parts        []prompt.Part       // parts of the prompt, in order; they are known by their text
	Repeatable   bool                // a second generation from the same body produces the same tokens
	Buffered     bool                // the caller takes the answer in one piece, so nothing is delivered before the end
	IncludeUsage bool                // an event with the usage follows the last token
	Spec         routing.RequestSpec // request for a slot on an endpoint
	Deadline     time.Time           // deadline of the whole answer
}

// Token is one event of a generation.
type Token struct {
	Generation string          // name of the generation
	Index      int             // index of the token, from 0 without gaps; NoIndex for an event that carries no token
	Text       string          // text of the token
	Extra      string          // other content of the event, such as tool calls and the finish reason
	Data       json.RawMessage // the engine's OpenAI chunk
	Last       bool            // the event carries the finish reason; no token follows
}

// Stream reads the events of one connection to an engine.
type Stream interface {
	// Next returns the next event, io.EOF after the end, or the context's error, after which the stream must not be used any more.
	Next(ctx context.Context) (Token, error)
	// Close closes the connection; the generation continues.
	Close() error
}

// Engines starts, resumes and cancels generations on endpoints. Each context limits the call, not the stream that it returns.
type Engines interface {
	// Start dispatches a new generation. The error wraps ErrNotStarted if the engine did not start the generation.
	Start(ctx context.Context, endpoint netip.AddrPort, generation string, request *Request) (Stream, error)
	// Resume opens a new connection to a generation and reads from the given index on. The error wraps ErrUnknownGeneration if the
	// engine does not have the generation.
	Resume(ctx context.Context, endpoint netip.AddrPort, generation string, from int) (Stream, error)
	// Cancel ends a generation; it returns nil once the engine has confirmed the end.
	Cancel(ctx context.Context, endpoint netip.AddrPort, generation string) error
}

// Sink delivers tokens to the caller, each once and in order; an error means that the caller has left.
type Sink interface {
	// Deliver sends one token with the resume token that is valid after it; resume is empty for a buffered answer.
	Deliver(token Token, resume string) error
}
