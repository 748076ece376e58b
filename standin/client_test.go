package standin

import (
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
)

// TestOfficialClient reads the engine's chunks and answers with OpenAI's client.
func TestOfficialClient(t *testing.T) {
	_, url := startEngine(t, fast())
	client := openai.NewClient(option.WithBaseURL(url+"/v1"), option.WithAPIKey("none"), option.WithMaxRetries(0))
	asked := openai.ChatCompletionNewParams{
		Model:    "ice",
		Seed:     openai.Int(7),
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage("tokens=20")},
	}
	want := NewText("1", 7, "tokens=20", "").Join(20)
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		whole, err := client.Chat.Completions.New(t.Context(), asked)
		is.NoErr(err)
		is.Equal(whole.Choices[0].Message.Content, want)
		is.Equal(whole.Usage.CompletionTokens, int64(20))
	})
	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		stream := client.Chat.Completions.NewStreaming(t.Context(), asked)
		sum := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			is.True(sum.AddChunk(stream.Current()))
		}
		is.NoErr(stream.Err())
		is.Equal(sum.Choices[0].Message.Content, want)
	})
}
