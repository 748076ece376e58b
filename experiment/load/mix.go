package load

// Kind says how a request is sent and checked.
type Kind string

// The kinds of request.
const (
	KindStream Kind = "stream" // a generation, streamed
	KindWhole  Kind = "whole"  // a generation in one piece
	KindCall   Kind = "call"   // a non-idempotent call with an Idempotency-Key
	KindLookup Kind = "lookup" // an idempotent call without a key
)

// Mix is one sort of request in a profile.
type Mix struct {
	Name        string
	Kind        Kind
	Entry       string
	Path        string  // below /call/{entry}/, for calls and look-ups
	Share       float64 // of the traffic, relative to the other mixes
	SharedBytes int     // start of the prompt that all requests of a workspace share
	PromptBytes int     // rest of the prompt, or body of a call
	Tokens      Tokens
	Repeat      float64 // chance that a call is sent to a second instance as well
}

// Generates tells whether the requests are generations.
func (m *Mix) Generates() bool {
	return m.Kind == KindStream || m.Kind == KindWhole
}

// Workspace is one caller of a profile.
type Workspace struct {
	Name  string
	Key   string
	Share float64 // of the traffic, relative to the other workspaces
}
