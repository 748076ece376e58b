package caller

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/prompt"

	"github.com/cespare/xxhash/v2"
)

// generationBody is a caller's request for a generation: what is decided by, and all fields for the engine.
type generationBody struct {
	model         string
	prompt        string // the text that engines cache prefixes of
	stream        bool
	usage         bool          // the engine is asked for the usage chunk
	parts         []prompt.Part // a message each, or the first blocks of a plain prompt
	maximumTokens int
	seeded        bool
	fields        map[string]json.RawMessage
}

// wireBody has the fields of OpenAI's two request types that matter here; pointers tell absent from zero.
type wireBody struct {
	Model         *string         `json:"model"`
	Messages      []wireMessage   `json:"messages"`
	Prompt        json.RawMessage `json:"prompt"`
	Stream        bool            `json:"stream"`
	StreamOptions *struct {
		IncludeUsage bool `json:"include_usage"`
	} `json:"stream_options"`
	MaxTokens           *int   `json:"max_tokens"`
	MaxCompletionTokens *int   `json:"max_completion_tokens"`
	Choices             *int   `json:"n"`
	Seed                *int64 `json:"seed"`
}

type wireMessage struct {
	Role    string          `json:"role"`
	Content json.RawMessage `json:"content"`
}

// readBody reads a bounded body whole, within the body's timeout.
func (h *Handler) readBody(w http.ResponseWriter, request *http.Request) ([]byte, error) {
	limit := h.config.MaximumBodyBytes
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(time.Now().Add(bodyTimeout))
	data, err := io.ReadAll(http.MaxBytesReader(w, request.Body, int64(limit)))
	if err == nil {
		_ = controller.SetReadDeadline(time.Time{})
		return data, nil
	}
	if _, ok := errors.AsType[*http.MaxBytesError](err); ok {
		return nil, tooLarge(limit)
	}
	return nil, invalid("", "the body could not be read: "+err.Error())
}

// parseBody checks a request for a generation.
func parseBody(data []byte, chat bool) (*generationBody, error) {
	var wire wireBody
	if err := json.Unmarshal(data, &wire); err != nil {
		return nil, invalid(wrongField(err), "the body is not valid: "+err.Error())
	}
	b := &generationBody{stream: wire.Stream}
	b.usage = !wire.Stream || (wire.StreamOptions != nil && wire.StreamOptions.IncludeUsage)
	if err := json.Unmarshal(data, &b.fields); err != nil {
		return nil, invalid("", "the body is not a JSON object")
	}
	if wire.Model == nil || *wire.Model == "" {
		return nil, invalid("model", "model is missing")
	}
	b.model = *wire.Model
	if wire.Choices != nil && *wire.Choices != 1 {
		return nil, invalid("n", "n must be 1")
	}
	if err := b.readLimits(&wire); err != nil {
		return nil, err
	}
	if err := b.readPrompt(&wire, chat); err != nil {
		return nil, err
	}
	b.seeded = wire.Seed != nil
	return b, nil
}

func wrongField(err error) string {
	if wrong, ok := errors.AsType[*json.UnmarshalTypeError](err); ok {
		return wrong.Field
	}
	return ""
}

func (b *generationBody) readLimits(wire *wireBody) error {
	for _, l := range []struct {
		name  string
		value *int
	}{{"max_tokens", wire.MaxTokens}, {"max_completion_tokens", wire.MaxCompletionTokens}} {
		if l.value == nil {
			continue
		}
		if *l.value < 1 {
			return invalid(l.name, l.name+" must be at least 1")
		}
		b.maximumTokens = *l.value
	}
	return nil
}

func (b *generationBody) readPrompt(wire *wireBody, chat bool) error {
	if !chat {
		if len(wire.Prompt) == 0 {
			return invalid("prompt", "prompt is missing")
		}
		if err := json.Unmarshal(wire.Prompt, &b.prompt); err != nil {
			return invalid("prompt", "prompt must be one text")
		}
		for _, block := range endpoint.Blocks(b.prompt) {
			b.parts = append(b.parts, prompt.Part(block))
		}
		b.parts = b.parts[:min(len(b.parts), prompt.MaximumParts)]
		return nil
	}
	if len(wire.Messages) == 0 {
		return invalid("messages", "messages is missing or empty")
	}
	var text strings.Builder
	for _, m := range wire.Messages {
		content, err := messageText(m.Content)
		if err != nil {
			return err
		}
		text.WriteString(content)
		b.parts = append(b.parts, prompt.PartOf(m.Role+"\n"+content))
	}
	b.parts = b.parts[:min(len(b.parts), prompt.MaximumParts)]
	b.prompt = text.String()
	return nil
}

// messageText returns the text of a message's content, which is a text or a list of parts.
func messageText(content json.RawMessage) (string, error) {
	if len(content) == 0 || string(content) == "null" {
		return "", nil
	}
	var text string
	if err := json.Unmarshal(content, &text); err == nil {
		return text, nil
	}
	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(content, &parts); err != nil {
		return "", invalid("messages", "the content of a message must be a text or a list of parts")
	}
	var joined strings.Builder
	for _, p := range parts {
		joined.WriteString(p.Text)
	}
	return joined.String(), nil
}

// complete returns the body for the engine: a stream, with usage where the caller gets it, and a seed that follows from the answer's id where the
// caller set none, so that whoever goes on with the answer can ask for the same one again.
func (b *generationBody) complete(id string) ([]byte, error) {
	b.fields["stream"] = json.RawMessage(`true`)
	if b.usage {
		b.fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	}
	if !b.seeded {
		seed := xxhash.Sum64String(id) & maximumSeed
		b.fields["seed"] = strconv.AppendUint(nil, seed, 10)
	}
	return json.Marshal(b.fields)
}

// limit lowers the output limit to the entry's.
func (b *generationBody) limit(entry int) {
	if entry == 0 || (b.maximumTokens > 0 && b.maximumTokens <= entry) {
		return
	}
	b.maximumTokens = entry
	name := "max_tokens"
	if _, ok := b.fields["max_completion_tokens"]; ok {
		name = "max_completion_tokens"
	}
	if value, err := json.Marshal(entry); err == nil {
		b.fields[name] = value
	}
}
