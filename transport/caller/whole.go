package caller

import (
	"encoding/json"
	"errors"
	"strings"

	"dogwooddyke/protocol/answer"
)

var errTooLong = errors.New("the answer is larger than an answer in one piece may be")

// wholeSink collects the chunks of an answer into the object that a caller gets who wants it in one piece.
type wholeSink struct {
	chat     bool
	bytes    int
	head     chunk
	text     strings.Builder
	refusal  strings.Builder
	tools    []toolCall
	finish   json.RawMessage
	usage    json.RawMessage
	received bool
}

// chunk has the fields of OpenAI's streamed chunks, chat or plain, that an answer in one piece is made of.
type chunk struct {
	ID                string          `json:"id"`
	Created           int64           `json:"created"`
	Model             string          `json:"model"`
	SystemFingerprint string          `json:"system_fingerprint"`
	Usage             json.RawMessage `json:"usage"`
	Choices           []struct {
		Text  string `json:"text"`
		Delta struct {
			Content   string     `json:"content"`
			Refusal   string     `json:"refusal"`
			ToolCalls []toolCall `json:"tool_calls"`
		} `json:"delta"`
		FinishReason json.RawMessage `json:"finish_reason"`
	} `json:"choices"`
}

type toolCall struct {
	Index    int    `json:"index"`
	ID       string `json:"id"`
	Type     string `json:"type"`
	Function struct {
		Name      string `json:"name"`
		Arguments string `json:"arguments"`
	} `json:"function"`
}

// Deliver takes one chunk.
func (s *wholeSink) Deliver(token answer.Token, _ string) error {
	s.bytes += len(token.Data)
	if s.bytes > maximumWholeBytes {
		return errTooLong
	}
	var c chunk
	if err := json.Unmarshal(token.Data, &c); err != nil {
		return err
	}
	s.take(&c)
	return nil
}

func (s *wholeSink) take(c *chunk) {
	if !s.received {
		s.received = true
		s.head = chunk{ID: c.ID, Created: c.Created, Model: c.Model, SystemFingerprint: c.SystemFingerprint}
	}
	if len(c.Usage) > 0 && string(c.Usage) != "null" {
		s.usage = c.Usage
	}
	if len(c.Choices) == 0 {
		return
	}
	choice := &c.Choices[0]
	s.text.WriteString(choice.Text)
	s.text.WriteString(choice.Delta.Content)
	s.refusal.WriteString(choice.Delta.Refusal)
	for _, t := range choice.Delta.ToolCalls {
		s.takeTool(t)
	}
	if len(choice.FinishReason) > 0 && string(choice.FinishReason) != "null" {
		s.finish = choice.FinishReason
	}
}

// takeTool joins a piece of a tool call to the pieces before it.
func (s *wholeSink) takeTool(piece toolCall) {
	for i := range s.tools {
		if s.tools[i].Index == piece.Index {
			s.tools[i].Function.Arguments += piece.Function.Arguments
			return
		}
	}
	s.tools = append(s.tools, piece)
}

// wholeBody is OpenAI's object for an answer in one piece.
type wholeBody struct {
	ID      string          `json:"id"`
	Object  string          `json:"object"`
	Created int64           `json:"created"`
	Model   string          `json:"model"`
	Choices []any           `json:"choices"`
	Usage   json.RawMessage `json:"usage,omitempty"`
}

// textChoice is the choice of a plain completion.
type textChoice struct {
	Text         string          `json:"text"`
	Index        int             `json:"index"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

// chatChoice is the choice of a chat completion.
type chatChoice struct {
	Index        int             `json:"index"`
	Message      chatMessage     `json:"message"`
	Logprobs     json.RawMessage `json:"logprobs"`
	FinishReason json.RawMessage `json:"finish_reason"`
}

type chatMessage struct {
	Role      string     `json:"role"`
	Content   *string    `json:"content"`
	Refusal   *string    `json:"refusal"`
	ToolCalls []toolCall `json:"tool_calls,omitempty"`
}

// body returns the whole answer as OpenAI's object.
func (s *wholeSink) body(id string) ([]byte, error) {
	whole := wholeBody{ID: id, Object: "text_completion", Created: s.head.Created, Model: s.head.Model, Usage: s.usage}
	if s.chat {
		whole.Object = "chat.completion"
		whole.Choices = []any{chatChoice{Message: s.message(), FinishReason: s.finish}}
	} else {
		whole.Choices = []any{textChoice{Text: s.text.String(), FinishReason: s.finish}}
	}
	return json.Marshal(whole)
}

func (s *wholeSink) message() chatMessage {
	m := chatMessage{Role: "assistant", ToolCalls: s.tools}
	if text := s.text.String(); text != "" || len(s.tools) == 0 {
		m.Content = &text
	}
	if text := s.refusal.String(); text != "" {
		m.Refusal = &text
	}
	return m
}
