package standin

import (
	"encoding/json"
	"strconv"
)

// appendChunk appends the SSE event of one token.
func (g *generation) appendChunk(to []byte, id string, index int) []byte {
	to = g.appendHead(to, id)
	to = append(to, `,"index":`...)
	to = strconv.AppendInt(to, int64(index), 10)
	to = append(to, `,"choices":[{"index":0,`...)
	to = g.appendPiece(to, index)
	to = append(to, `,"logprobs":null,"finish_reason":`...)
	if index == g.model.Length-1 {
		to = strconv.AppendQuote(to, g.finishReason())
	} else {
		to = append(to, "null"...)
	}
	return append(to, "}]}\n\n"...)
}

func (g *generation) appendPiece(to []byte, index int) []byte {
	if !g.chat {
		to = append(to, `"text":`...)
		return appendString(to, g.text.Token(index))
	}
	to = append(to, `"delta":{`...)
	if index == 0 {
		to = append(to, `"role":"assistant",`...)
	}
	to = append(to, `"content":`...)
	to = appendString(to, g.text.Token(index))
	return append(to, '}')
}

// appendHead appends the fields that all chunks of a generation share.
func (g *generation) appendHead(to []byte, id string) []byte {
	to = append(to, `data: {"id":`...)
	to = appendString(to, g.answerID())
	to = append(to, `,"object":"`...)
	to = append(to, g.object(true)...)
	to = append(to, `","created":`...)
	to = strconv.AppendInt(to, g.created.Unix(), 10)
	to = append(to, `,"model":`...)
	to = appendString(to, g.name)
	to = append(to, `,"generation":`...)
	return appendString(to, id)
}

// appendUsage appends the usage chunk, which has no index.
func (g *generation) appendUsage(to []byte) []byte {
	to = g.appendHead(to, g.model.ID)
	to = append(to, `,"choices":[],"usage":`...)
	usage, _ := json.Marshal(g.usageCount())
	to = append(to, usage...)
	return append(to, "}\n\n"...)
}

func (g *generation) answerID() string {
	if g.chat {
		return "chatcmpl-" + g.model.ID
	}
	return "cmpl-" + g.model.ID
}

func (g *generation) object(streamed bool) string {
	switch {
	case !g.chat:
		return "text_completion"
	case streamed:
		return "chat.completion.chunk"
	default:
		return "chat.completion"
	}
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

func (g *generation) usageCount() usage {
	return usage{g.model.Prompt, g.model.Length, g.model.Prompt + g.model.Length}
}

// choice is the one choice of a whole answer.
type choice struct {
	Index        int      `json:"index"`
	Message      *said    `json:"message,omitempty"`
	Text         *string  `json:"text,omitempty"`
	Logprobs     *float64 `json:"logprobs"`
	FinishReason string   `json:"finish_reason"`
}

type said struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// whole is the answer in one piece.
func (g *generation) whole() any {
	text := g.text.Join(g.model.Length)
	c := choice{FinishReason: g.finishReason()}
	if g.chat {
		c.Message = &said{Role: "assistant", Content: text}
	} else {
		c.Text = &text
	}
	return struct {
		ID         string   `json:"id"`
		Object     string   `json:"object"`
		Created    int64    `json:"created"`
		Model      string   `json:"model"`
		Generation string   `json:"generation"`
		Choices    []choice `json:"choices"`
		Usage      usage    `json:"usage"`
	}{g.answerID(), g.object(false), g.created.Unix(), g.name, g.model.ID, []choice{c}, g.usageCount()}
}

// appendString appends a JSON string.
func appendString(to []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c == '"' || c == '\\' || c == 0x7f {
			quoted, _ := json.Marshal(text)
			return append(to, quoted...)
		}
	}
	to = append(to, '"')
	to = append(to, text...)
	return append(to, '"')
}
