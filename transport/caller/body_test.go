package caller

import (
	"encoding/json"
	"errors"
	"testing"

	"github.com/matryer/is"
)

// assertInvalid checks that the body is refused for the field.
func assertInvalid(t *testing.T, body, param string) {
	t.Helper()
	is := is.New(t)
	_, err := parseBody([]byte(body), true)
	var refused *refusal
	is.True(errors.As(err, &refused))
	is.Equal(refused.status, 400)
	is.Equal(refused.param, param)
	var wire struct {
		Error struct {
			Outcome string `json:"outcome"`
		} `json:"error"`
	}
	is.NoErr(json.Unmarshal(refused.body(), &wire))
	is.Equal(wire.Error.Outcome, "notRun")
}

func TestParseBody(t *testing.T) {
	const messages = `"messages":[{"role":"user","content":"a"}]`
	t.Run("invalid", func(t *testing.T) {
		assertInvalid(t, `nothing`, "")
		assertInvalid(t, `[]`, "")
		assertInvalid(t, `{`+messages+`}`, "model")
		assertInvalid(t, `{"model":1,`+messages+`}`, "model")
		assertInvalid(t, `{"model":"m"}`, "messages")
		assertInvalid(t, `{"model":"m","messages":[{"role":"user","content":7}]}`, "messages")
		assertInvalid(t, `{"model":"m","n":2,`+messages+`}`, "n")
		assertInvalid(t, `{"model":"m","max_tokens":0,`+messages+`}`, "max_tokens")
	})
	t.Run("partsAreJoined", func(t *testing.T) {
		is := is.New(t)
		b, err := parseBody([]byte(`{"model":"m","messages":[{"content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]},{"content":"c"}]}`), true)
		is.NoErr(err)
		is.Equal(b.prompt, "abc")
	})
	t.Run("seedFollowsFromTheAnswer", func(t *testing.T) {
		is := is.New(t)
		body := func(id string) string {
			b, err := parseBody([]byte(`{"model":"m","extra":{"kept":true},`+messages+`}`), true)
			is.NoErr(err)
			data, err := b.complete(id)
			is.NoErr(err)
			return string(data)
		}
		is.Equal(body("one"), body("one"))
		is.True(body("one") != body("two"))
	})
	t.Run("callersSeedIsKept", func(t *testing.T) {
		is := is.New(t)
		b, err := parseBody([]byte(`{"model":"m","seed":5,"max_tokens":100,`+messages+`}`), true)
		is.NoErr(err)
		b.limit(10)
		data, err := b.complete("id")
		is.NoErr(err)
		var wire struct {
			Seed      int  `json:"seed"`
			MaxTokens int  `json:"max_tokens"`
			Stream    bool `json:"stream"`
		}
		is.NoErr(json.Unmarshal(data, &wire))
		is.Equal(wire.Seed, 5)
		is.Equal(wire.MaxTokens, 10)
		is.True(wire.Stream)
	})
}

func FuzzParseBody(f *testing.F) {
	f.Add([]byte(`{"model":"m","messages":[{"role":"user","content":"a"}]}`), true)
	f.Add([]byte(`{"model":"m","prompt":"a","max_tokens":5}`), false)
	f.Fuzz(func(t *testing.T, data []byte, chat bool) {
		b, err := parseBody(data, chat)
		if err != nil {
			var refused *refusal
			if !errors.As(err, &refused) {
				t.Fatalf("untyped error: %v", err)
			}
			return
		}
		completed, err := b.complete("id")
		if err != nil || !json.Valid(completed) {
			t.Fatalf("not valid for an engine: %q, %v", completed, err)
		}
	})
}
