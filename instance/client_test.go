package instance

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"

	"dogwooddyke/transport/platform"
)

func (f *fleet) logClient() *platform.Log {
	return platform.NewLog("http://"+f.logAt.String(), platform.NewClient())
}

// client is the official client, which knows nothing of this project.
func (f *fleet) client(key string) openai.Client {
	return openai.NewClient(option.WithBaseURL(f.url(0)+"/v1"), option.WithAPIKey(key), option.WithMaxRetries(0))
}

func question(text string) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:    "isoraklet",
		Messages: []openai.ChatCompletionMessageParamUnion{openai.UserMessage(text)},
	}
}

// assertRefused checks status, code and outcome of an error of the official client.
func assertRefused(t *testing.T, err error, status int, code, outcome string) {
	t.Helper()
	is := is.New(t)
	var refused *openai.Error
	is.True(errors.As(err, &refused))
	is.Equal(refused.StatusCode, status)
	is.Equal(refused.Code, code)
	is.True(strings.Contains(refused.RawJSON(), `"outcome":"`+outcome+`"`))
}

func TestOfficialClient(t *testing.T) {
	f := newFleet(t, 2, 0, 1)
	client := f.client(testKey)
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		answer, err := client.Chat.Completions.New(t.Context(), question("tokens=20 is the ice safe?"))
		is.NoErr(err)
		is.Equal(len(answer.Choices), 1)
		is.Equal(answer.Usage.CompletionTokens, int64(20))
		is.Equal(answer.Choices[0].FinishReason, "stop")
		is.True(answer.Choices[0].Message.Content != "")
	})
	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		stream := client.Chat.Completions.NewStreaming(t.Context(), question("tokens=30 how thick?"))
		chunks := 0
		for stream.Next() {
			if len(stream.Current().Choices) > 0 {
				chunks++
			}
		}
		is.NoErr(stream.Err())
		is.Equal(chunks, 30)
	})
	t.Run("usageOnlyWhereAskedFor", func(t *testing.T) {
		is := is.New(t)
		for _, wanted := range []bool{false, true} {
			asked := question("tokens=10 usage")
			asked.StreamOptions.IncludeUsage = openai.Bool(wanted)
			stream := client.Chat.Completions.NewStreaming(t.Context(), asked)
			tokens := int64(0)
			for stream.Next() {
				tokens = max(tokens, stream.Current().Usage.CompletionTokens)
			}
			is.NoErr(stream.Err())
			is.Equal(tokens == 10, wanted)
		}
	})
	t.Run("sameAsWhole", func(t *testing.T) {
		is := is.New(t)
		asked := question("tokens=25 the same twice")
		asked.Seed = openai.Int(7)
		whole, err := client.Chat.Completions.New(t.Context(), asked)
		is.NoErr(err)
		stream := client.Chat.Completions.NewStreaming(t.Context(), asked)
		collected := openai.ChatCompletionAccumulator{}
		for stream.Next() {
			collected.AddChunk(stream.Current())
		}
		is.NoErr(stream.Err())
		is.Equal(collected.Choices[0].Message.Content, whole.Choices[0].Message.Content)
	})
	t.Run("plain", func(t *testing.T) {
		is := is.New(t)
		answer, err := client.Completions.New(t.Context(), openai.CompletionNewParams{
			Model: "isoraklet", Prompt: openai.CompletionNewParamsPromptUnion{OfString: openai.String("tokens=5 go")},
		})
		is.NoErr(err)
		is.True(answer.Choices[0].Text != "")
	})
	t.Run("models", func(t *testing.T) {
		is := is.New(t)
		models, err := client.Models.List(t.Context())
		is.NoErr(err)
		is.Equal(len(models.Data), 1)
		is.Equal(models.Data[0].ID, "isoraklet")
	})
	t.Run("wrongKey", func(t *testing.T) {
		wrong := f.client("wrong")
		_, err := wrong.Chat.Completions.New(t.Context(), question("tokens=5"))
		assertRefused(t, err, http.StatusUnauthorized, "invalid_api_key", "notRun")
	})
	t.Run("unknownModel", func(t *testing.T) {
		asked := question("tokens=5")
		asked.Model = "nothing"
		_, err := client.Chat.Completions.New(t.Context(), asked)
		assertRefused(t, err, http.StatusNotFound, "model_not_found", "notRun")
	})
	t.Run("tooLarge", func(t *testing.T) {
		_, err := client.Chat.Completions.New(t.Context(), question(strings.Repeat("x", defaultMaximumBodyBytes)))
		assertRefused(t, err, http.StatusRequestEntityTooLarge, "request_too_large", "notRun")
	})
}
