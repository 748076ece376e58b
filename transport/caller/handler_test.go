package caller

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/protocol/answer"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// answers stands in for protocol/answer: it delivers the chunks and ends with the result.
type answers struct {
	chunks []string
	result answer.Result
	hold   chan struct{} // nil, or closed when the answers may go on
}

func (a *answers) Run(_ context.Context, _ *answer.Request, sink answer.Sink) answer.Result {
	if a.hold != nil {
		<-a.hold
	}
	for i, c := range a.chunks {
		if err := sink.Deliver(answer.Token{Index: i, Data: []byte(c)}, "token"); err != nil {
			return answer.Result{Outcome: answer.OutcomeCancelled, Err: err}
		}
	}
	return a.result
}

func (a *answers) Resume(ctx context.Context, _ *answer.ResumeToken, request *answer.Request, sink answer.Sink) answer.Result {
	return a.Run(ctx, request, sink)
}

// unobserved ignores everything.
type unobserved struct{}

func (unobserved) Refused(_, _, _ string)                               {}
func (unobserved) Ended(_, _ string, _ answer.Outcome, _ time.Duration) {}
func (unobserved) Begin(_, _ string) Timing                             { return unobserved{} }
func (unobserved) FirstToken(time.Duration)                             {}
func (unobserved) BetweenTokens(time.Duration)                          {}

func newTable(t *testing.T) *catalogue.Table {
	t.Helper()
	is := is.New(t)
	table := catalogue.NewTable(catalogue.Rules{})
	sum := sha256.Sum256([]byte("key"))
	for n, c := range []catalogue.Change{
		{Workspace: &catalogue.Workspace{Name: "w", Owner: "o", KeyHashes: []string{hex.EncodeToString(sum[:])}}},
		{Entry: &catalogue.Entry{Name: "m", Owner: "o", Kind: catalogue.KindEngine, Class: "c", Model: "x", Version: "1"}},
		{Entry: &catalogue.Entry{Name: "closed", Owner: "o", Kind: catalogue.KindEngine, Class: "c", Model: "x", Version: "1", Workspaces: []string{"other"}}},
	} {
		c.ID, c.Operator, c.Seen = "change-"+string(rune('a'+n)), "o", uint64(n)
		data, err := catalogue.Encode(catalogue.Record{Change: &c})
		is.NoErr(err)
		is.NoErr(table.Apply(record.Record{Offset: uint64(n + 1), Data: data}))
	}
	return table
}

func newTestHandler(t *testing.T, a *answers, streams int) *Handler {
	t.Helper()
	return NewHandler(Config{
		Answers: a, Catalogue: newTable(t), Observer: unobserved{}, MaximumBodyBytes: 1 << 10, MaximumStreams: streams,
	}, func() bool { return true })
}

func ask(h http.Handler, model string, stream bool) *httptest.ResponseRecorder {
	body := `{"model":"` + model + `","stream":` + map[bool]string{true: "true", false: "false"}[stream] + `,"messages":[{"role":"user","content":"a"}]}`
	request := httptest.NewRequest(http.MethodPost, "/v1/chat/completions", strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer key")
	recorder := httptest.NewRecorder()
	h.ServeHTTP(recorder, request)
	return recorder
}

// assertRefusal checks status, outcome and code, and that a time to ask again is given or not.
func assertRefusal(t *testing.T, r *httptest.ResponseRecorder, status int, outcome, code string, retryable bool) {
	t.Helper()
	is := is.New(t)
	is.Equal(r.Code, status)
	is.Equal(r.Header().Get("Outcome"), outcome)
	is.True(strings.Contains(r.Body.String(), `"code":"`+code+`"`))
	is.Equal(r.Header().Get("Retry-After") != "", retryable)
}

const lastChunk = `{"id":"x","created":5,"model":"m","choices":[{"delta":{"content":"b"},"finish_reason":"stop"}]}`

func TestAnswer(t *testing.T) {
	finished := answer.Result{Outcome: answer.OutcomeFinished, ResumeToken: "again"}
	chunks := []string{`{"id":"x","created":5,"model":"m","choices":[{"delta":{"role":"assistant","content":"a"}}]}`, lastChunk}
	t.Run("whole", func(t *testing.T) {
		is := is.New(t)
		r := ask(newTestHandler(t, &answers{chunks: chunks, result: finished}, 1), "m", false)
		is.Equal(r.Code, http.StatusOK)
		is.Equal(r.Header().Get("Resume-Token"), "again")
		is.True(strings.Contains(r.Body.String(), `"content":"ab"`))
		is.True(strings.Contains(r.Body.String(), `"finish_reason":"stop"`))
	})
	t.Run("streamed", func(t *testing.T) {
		is := is.New(t)
		r := ask(newTestHandler(t, &answers{chunks: chunks, result: finished}, 1), "m", true)
		is.Equal(strings.Count(r.Body.String(), "id: token\n"), 2)
		is.True(strings.HasSuffix(r.Body.String(), "data: [DONE]\n\n"))
	})
	t.Run("interruptedStreamHasNoEndMark", func(t *testing.T) {
		is := is.New(t)
		broken := answer.Result{Outcome: answer.OutcomeInterrupted, Delivered: 1, Reason: "generationLost"}
		r := ask(newTestHandler(t, &answers{chunks: chunks[:1], result: broken}, 1), "m", true)
		is.Equal(r.Code, http.StatusOK)
		is.True(!strings.Contains(r.Body.String(), "[DONE]"))
		is.True(strings.Contains(r.Body.String(), `"outcome":"interrupted"`))
	})
	t.Run("interruptedWholeGivesNoPart", func(t *testing.T) {
		is := is.New(t)
		broken := answer.Result{Outcome: answer.OutcomeInterrupted, Reason: "generationLost"}
		r := ask(newTestHandler(t, &answers{chunks: chunks[:1], result: broken}, 1), "m", false)
		assertRefusal(t, r, http.StatusBadGateway, "interrupted", "generationLost", false)
		is.Equal(r.Header().Get("X-Should-Retry"), "false")
	})
	t.Run("limit", func(t *testing.T) {
		limited := answer.Result{Outcome: answer.OutcomeNotRun, Reason: "workspaceLimit", RetryAt: time.Now().Add(time.Minute)}
		r := ask(newTestHandler(t, &answers{result: limited}, 1), "m", true)
		assertRefusal(t, r, http.StatusTooManyRequests, "notRun", "workspaceLimit", true)
		is := is.New(t)
		is.True(r.Header().Get("Answer-Id") != "") // for dykectl explain
	})
	t.Run("closedEntryLooksUnknown", func(t *testing.T) {
		is := is.New(t)
		h := newTestHandler(t, &answers{result: finished}, 1)
		assertRefusal(t, ask(h, "closed", true), http.StatusNotFound, "notRun", "model_not_found", false)
		is.Equal(strings.ReplaceAll(ask(h, "closed", true).Body.String(), "closed", "x"), strings.ReplaceAll(ask(h, "absent", true).Body.String(), "absent", "x"))
	})
}

func TestAdmit(t *testing.T) {
	t.Run("fullThenDraining", func(t *testing.T) {
		is := is.New(t)
		a := &answers{result: answer.Result{Outcome: answer.OutcomeFinished}, hold: make(chan struct{})}
		h := newTestHandler(t, a, 1)
		is.NoErr(h.admit())
		assertRefusal(t, ask(h, "m", true), http.StatusServiceUnavailable, "notRun", "instanceFull", true)
		h.leave()
		h.Drain()
		assertRefusal(t, ask(h, "m", true), http.StatusServiceUnavailable, "notRun", "draining", true)
		is.Equal(h.InFlight(), 0)
	})
	t.Run("notReady", func(t *testing.T) {
		h := newTestHandler(t, &answers{}, 1)
		h.able = func() bool { return false }
		assertRefusal(t, ask(h, "m", true), http.StatusServiceUnavailable, "notRun", "notReady", true)
	})
	t.Run("errorsAreTyped", func(t *testing.T) {
		is := is.New(t)
		h := newTestHandler(t, &answers{}, 0)
		var refused *refusal
		is.True(errors.As(h.admit(), &refused))
	})
}
