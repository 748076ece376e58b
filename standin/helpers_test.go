package standin

import (
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// result is the answer to a call; cut tells that the connection was cut in place of it.
type result struct {
	*httptest.ResponseRecorder
	cut bool
}

func call(h http.Handler, method, path, body string, header ...string) (got result) {
	got.ResponseRecorder = httptest.NewRecorder()
	defer func() {
		if r := recover(); r != nil {
			err, ok := r.(error)
			if !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(r)
			}
			got.cut = true
		}
	}()
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		request.Header.Set(header[i], header[i+1])
	}
	h.ServeHTTP(got, request)
	return got
}

func decode[T any](t *testing.T, got result) (value T) {
	t.Helper()
	is.New(t).NoErr(json.Unmarshal(got.Body.Bytes(), &value))
	return value
}

// took returns how long the call takes, in a synctest bubble.
func took(f func()) time.Duration {
	began := time.Now()
	f()
	return time.Since(began)
}

// assertNotRun checks for an honest refusal with the status.
func assertNotRun(t *testing.T, got result, status int) {
	t.Helper()
	is := is.New(t)
	is.Equal(got.Code, status)
	is.Equal(got.Header().Get(headerOutcome), outcomeNotRun)
	refused := decode[struct {
		Error struct{ Message, Outcome string }
	}](t, got)
	is.Equal(refused.Error.Outcome, outcomeNotRun)
	is.True(refused.Error.Message != "")
}

// stopped closes a stand-in at the end of the test.
func stopped[S interface{ Close() error }](t *testing.T, s S) S {
	t.Helper()
	t.Cleanup(func() { _ = s.Close() })
	return s
}

func in(d time.Duration) time.Time { return time.Now().Add(d) }
