package demo

import (
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"dogwooddyke/experiment/load"
	"dogwooddyke/state/catalogue"
)

// testEndpoints starts one engine and one plain service.
func testEndpoints(t *testing.T) *endpoints {
	t.Helper()
	is := is.New(t)
	b, err := startEndpoints(&Layout{Services: []Service{
		engines("model", "owner", "class", 1, true),
		plain("actions", "owner", "class", 1, catalogue.KeyRuleRequired),
	}})
	is.NoErr(err)
	t.Cleanup(func() { _ = b.close() })
	return b
}

// send posts to the first endpoint of an entry past any instance.
func send(t *testing.T, b *endpoints, entry, path, header, value, body string) {
	t.Helper()
	is := is.New(t)
	g, ok := b.find(entry)
	is.True(ok)
	request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+g.addresses[0].String()+path, strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set(header, value)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
}

func call(key string, outcome load.Outcome, reply uint64) load.Record {
	return load.Record{Kind: load.KindCall, Entry: "actions", Key: key, Outcome: outcome, Reply: reply}
}

func TestAudit(t *testing.T) {
	b := testEndpoints(t)
	for _, key := range []string{"once", "twice", "twice", "denied"} {
		send(t, b, "actions", "/do", "Idempotency-Key", key, "{}")
	}
	send(t, b, "model", "/v1/chat/completions", "Generation-Id", "ran.1", `{"messages":[{"content":"tokens=1"}]}`)
	judge := func(records ...load.Record) Audit {
		a := audit(b, []Traffic{{Records: records}})
		a.Preemptions, a.Unclaimed = 0, 0
		return a
	}
	t.Run("clean", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("once", load.OutcomeFinished, 1), call("never", load.OutcomeNotRun, 0)), Audit{Keys: 2})
	})
	t.Run("doubledRun", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("twice", load.OutcomeFinished, 1)), Audit{Keys: 1, DoubledRuns: 1})
	})
	t.Run("falseNotRun", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("denied", load.OutcomeNotRun, 0)), Audit{Keys: 1, FalseNotRun: 1})
	})
	t.Run("notRunThenRun", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("once", load.OutcomeNotRun, 0), call("once", load.OutcomeFinished, 1)), Audit{Keys: 1})
	})
	t.Run("falseFinished", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("never", load.OutcomeFinished, 1)), Audit{Keys: 1, FalseFinished: 1})
	})
	t.Run("unlikeReplies", func(t *testing.T) {
		is := is.New(t)
		is.Equal(judge(call("once", load.OutcomeFinished, 1), call("once", load.OutcomeFinished, 2)), Audit{Keys: 1, UnlikeReplies: 1})
	})
	t.Run("generationThatRan", func(t *testing.T) {
		is := is.New(t)
		r := load.Record{Kind: load.KindStream, Entry: "model", Outcome: load.OutcomeNotRun, Answer: "ran"}
		is.Equal(judge(r), Audit{FalseNotRun: 1})
		r.Answer = ""
		is.Equal(judge(r), Audit{UntracedNotRun: 1, FalseNotRun: 1}) // the one that ran may have been its
		told := load.Record{Kind: load.KindStream, Entry: "model", Outcome: load.OutcomeFinished, Answer: "ran"}
		is.Equal(judge(r, told), Audit{UntracedNotRun: 1})
	})
}
