package load

import (
	"encoding/json"
	"time"
)

// Request is one planned request.
type Request struct {
	Number    int
	Due       time.Duration // from the start of the run
	Mix       *Mix
	Workspace *Workspace
	Target    int // index of the instance that takes it
	Prompt    string
	Shared    int // length of the start of the prompt that goes into the system message
	Tokens    int // length that the prompt asks for
	Seed      int64
	Key       string // Idempotency-Key of a call
	Other     int    // index of the instance that gets a repeat; equal to Target: none
}

// Body returns the JSON to send.
func (r *Request) Body() []byte {
	var body any
	if r.Mix.Generates() {
		body = r.chat()
	} else {
		body = r.note()
	}
	data, err := json.Marshal(body)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return data
}

// message is one turn of a chat.
type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (r *Request) chat() any {
	type streamOptions struct {
		IncludeUsage bool `json:"include_usage"`
	}
	body := struct {
		Model    string         `json:"model"`
		Messages []message      `json:"messages"`
		Seed     int64          `json:"seed"`
		Stream   bool           `json:"stream,omitempty"`
		Options  *streamOptions `json:"stream_options,omitempty"`
	}{Model: r.Mix.Entry, Seed: r.Seed}
	body.Messages = []message{{Role: "system", Content: r.Prompt[:r.Shared]}, {Role: "user", Content: r.Prompt[r.Shared:]}}
	if r.Mix.Kind == KindStream {
		body.Stream = true
		body.Options = &streamOptions{IncludeUsage: true}
	}
	return body
}

func (r *Request) note() any {
	return struct {
		Number int    `json:"number"`
		Text   string `json:"text"`
	}{r.Number, r.Prompt}
}
