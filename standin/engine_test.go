package standin

import (
	"bufio"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"dogwooddyke/standin/model"

	"github.com/matryer/is"
)

var anyPort = netip.MustParseAddrPort("127.0.0.1:0")

// fast is an engine whose steps take a millisecond.
func fast() EngineConfig {
	return EngineConfig{Name: "e1", Model: "ice", Version: "1", Repeatable: true, Sizes: model.Config{StepTime: time.Millisecond}}
}

func startEngine(t *testing.T, config EngineConfig) (*Engine, string) {
	t.Helper()
	e := NewEngine(config)
	t.Cleanup(func() { _ = e.Close() })
	address, err := e.Listen(anyPort)
	is.New(t).NoErr(err)
	return e, "http://" + address.String()
}

func chat(prompt string, more string) string {
	return `{"model":"ice","seed":7,"stream":true,"messages":[{"role":"user","content":"` + prompt + `"}]` + more + `}`
}

func post(t *testing.T, url, id, body string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url, strings.NewReader(body))
	is.New(t).NoErr(err)
	request.Header.Set(headerGeneration, id)
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

func get(t *testing.T, url string) *http.Response {
	t.Helper()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	is.New(t).NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// seen is one event of a stream.
type seen struct {
	Generation string
	Index      *int
	Choices    []struct {
		Delta        struct{ Content string }
		Text         string
		FinishReason *string `json:"finish_reason"`
	}
	Usage *usage
}

// events reads a stream and reports whether it ended with [DONE].
func events(t *testing.T, response *http.Response) (all []seen, done bool) {
	t.Helper()
	is := is.New(t)
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return all, true
		}
		var event seen
		is.NoErr(json.Unmarshal([]byte(data), &event))
		all = append(all, event)
	}
	return all, false
}

func indexes(all []seen) []int {
	found := []int{}
	for _, e := range all {
		if e.Index != nil {
			found = append(found, *e.Index)
		}
	}
	return found
}

func TestEngineStream(t *testing.T) {
	e, url := startEngine(t, fast())
	t.Run("chat", func(t *testing.T) {
		is := is.New(t)
		response := post(t, url+"/v1/chat/completions", "g1", chat("tokens=5", `,"stream_options":{"include_usage":true}`))
		all, done := events(t, response)
		is.True(done)
		is.Equal(indexes(all), []int{0, 1, 2, 3, 4})
		is.Equal(*all[4].Choices[0].FinishReason, "stop")
		is.Equal(all[5].Usage.CompletionTokens, 5)
		text := ""
		for _, e := range all[:5] {
			is.Equal(e.Generation, "g1")
			text += e.Choices[0].Delta.Content
		}
		is.Equal(text, NewText("1", 7, "tokens=5", "").Join(5))
		is.Equal(e.Starts("g1"), 1)
	})
	t.Run("resume", func(t *testing.T) {
		is := is.New(t)
		all, done := events(t, get(t, url+"/generations/g1?from=3"))
		is.True(done)
		is.Equal(indexes(all), []int{3, 4})
		is.Equal(get(t, url+"/generations/other?from=0").StatusCode, http.StatusNotFound)
	})
	t.Run("knownID", func(t *testing.T) {
		is := is.New(t)
		response := post(t, url+"/v1/chat/completions", "g1", chat("tokens=5", ""))
		is.Equal(response.StatusCode, http.StatusConflict)
		is.Equal(response.Header.Get(headerOutcome), outcomeUnknown)
	})
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		response := post(t, url+"/v1/completions", "g2", `{"model":"ice","prompt":"tokens=50","max_tokens":4}`)
		var whole struct {
			Choices []struct {
				Text         string
				FinishReason string `json:"finish_reason"`
			}
			Usage usage
		}
		is.NoErr(json.NewDecoder(response.Body).Decode(&whole))
		is.Equal(whole.Usage.CompletionTokens, 4)
		is.Equal(whole.Choices[0].FinishReason, "length")
	})
}
