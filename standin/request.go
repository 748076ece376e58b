package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

// ErrRequest reports a body that an engine can't take.
var ErrRequest = errors.New("invalid request")

// prompt is OpenAI's request body as far as the stand-in looks at it.
type prompt struct {
	Model      string
	Text       string
	Seed       *int64
	Maximum    int // tokens; zero: no limit
	Stream     bool
	UsageChunk bool
	Directive  int // length asked for in the prompt; zero: none
}

var directive = regexp.MustCompile(`tokens=([0-9]{1,6})`)

// parsePrompt reads a chat or plain completion request; errors wrap ErrRequest and name the field.
func parsePrompt(body []byte, chat bool) (prompt, error) {
	var raw struct {
		Model               string          `json:"model"`
		Messages            []message       `json:"messages"`
		Prompt              json.RawMessage `json:"prompt"`
		Seed                *int64          `json:"seed"`
		MaxTokens           int             `json:"max_tokens"`
		MaxCompletionTokens int             `json:"max_completion_tokens"`
		Stream              bool            `json:"stream"`
		StreamOptions       struct {
			IncludeUsage bool `json:"include_usage"`
		} `json:"stream_options"`
		N *int `json:"n"`
	}
	if err := json.Unmarshal(body, &raw); err != nil {
		return prompt{}, fmt.Errorf("%w: body: %w", ErrRequest, err)
	}
	if raw.N != nil && *raw.N != 1 {
		return prompt{}, fmt.Errorf("%w: n: must be 1", ErrRequest)
	}
	maximum := max(raw.MaxTokens, raw.MaxCompletionTokens)
	if min(raw.MaxTokens, raw.MaxCompletionTokens) < 0 {
		return prompt{}, fmt.Errorf("%w: max_tokens: must not be negative", ErrRequest)
	}
	text, err := promptText(raw.Messages, raw.Prompt, chat)
	if err != nil {
		return prompt{}, err
	}
	return prompt{
		Model:      raw.Model,
		Text:       text,
		Seed:       raw.Seed,
		Maximum:    maximum,
		Stream:     raw.Stream,
		UsageChunk: raw.StreamOptions.IncludeUsage,
		Directive:  directiveOf(text),
	}, nil
}

func promptText(messages []message, plain json.RawMessage, chat bool) (string, error) {
	if !chat {
		text, err := oneString(plain)
		if err != nil {
			return "", fmt.Errorf("%w: prompt: must be a string", ErrRequest)
		}
		return text, nil
	}
	if len(messages) == 0 {
		return "", fmt.Errorf("%w: messages: must not be empty", ErrRequest)
	}
	var all strings.Builder
	for _, m := range messages {
		all.WriteString(m.Content.text)
	}
	return all.String(), nil
}

// oneString takes a string or a list of one string.
func oneString(raw json.RawMessage) (string, error) {
	var text string
	if err := json.Unmarshal(raw, &text); err == nil {
		return text, nil
	}
	var list []string
	if err := json.Unmarshal(raw, &list); err != nil {
		return "", err
	}
	if len(list) != 1 {
		return "", ErrRequest
	}
	return list[0], nil
}

func directiveOf(text string) int {
	found := directive.FindStringSubmatch(text)
	if found == nil {
		return 0
	}
	length, _ := strconv.Atoi(found[1])
	return length
}

type message struct {
	Content content `json:"content"`
}

// content is a string or a list of parts, of which those with text count.
type content struct{ text string }

// UnmarshalJSON takes both forms.
func (c *content) UnmarshalJSON(raw []byte) error {
	if err := json.Unmarshal(raw, &c.text); err == nil {
		return nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(raw, &parts); err != nil {
		return err
	}
	for _, p := range parts {
		c.text += p.Text
	}
	return nil
}
