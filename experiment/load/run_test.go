package load

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// fake answers as an instance would, with one fault on demand.
type fake struct {
	mutex   sync.Mutex
	runs    map[string]int
	corrupt func(index int) int // the token sent in place of each
	cutAt   int                 // token before which a first connection is cut; zero: never
}

func (f *fake) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	switch {
	case strings.HasPrefix(r.URL.Path, "/v1/answers/"):
		token, rest, _ := strings.Cut(r.Header.Get("Last-Event-ID"), ":")
		number, length, _ := strings.Cut(rest, ":")
		f.stream(w, atoi(number), atoi(token)+1, atoi(length), false)
	case r.URL.Path == chatPath && strings.Contains(string(body), `"stream":true`):
		f.stream(w, requested(body, "request="), 0, requested(body, "tokens="), true)
	case r.URL.Path == chatPath:
		f.whole(w, requested(body, "request="), requested(body, "tokens="))
	default:
		f.mutex.Lock()
		f.runs[r.Header.Get("Idempotency-Key")]++
		f.mutex.Unlock()
	}
}

func (f *fake) stream(w http.ResponseWriter, number, from, length int, first bool) {
	w.Header().Set("Answer-Id", strconv.Itoa(number))
	for i := from; i < length; i++ {
		if first && f.cutAt > 0 && i == f.cutAt {
			panic(http.ErrAbortHandler)
		}
		finish := ""
		if i == length-1 {
			finish = "stop"
		}
		text := testText(number, f.corrupt(i))
		fmt.Fprintf(w, "id: %d:%d:%d\ndata: {\"choices\":[{\"delta\":{\"content\":%q},\"finish_reason\":%q}]}\n\n", i, number, length, text, finish)
		w.(http.Flusher).Flush()
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

func (f *fake) whole(w http.ResponseWriter, number, length int) {
	var text strings.Builder
	for i := range length {
		text.WriteString(testText(number, f.corrupt(i)))
	}
	fmt.Fprintf(w, `{"choices":[{"message":{"content":%q},"finish_reason":"stop"}]}`, text.String())
}

func requested(body []byte, field string) int {
	_, rest, _ := strings.Cut(string(body), field)
	return atoi(rest)
}

func atoi(text string) int {
	end := strings.IndexFunc(text, func(r rune) bool { return r < '0' || r > '9' })
	if end >= 0 {
		text = text[:end]
	}
	n, _ := strconv.Atoi(text)
	return n
}

func runAgainst(t *testing.T, f *fake) (*Report, []Record) {
	t.Helper()
	is := is.New(t)
	f.runs = make(map[string]int)
	first, second := httptest.NewServer(f), httptest.NewServer(f)
	t.Cleanup(first.Close)
	t.Cleanup(second.Close)
	p, err := OpenProfile("islaget")
	is.NoErr(err)
	report, records, err := Run(context.Background(), &Options{
		Targets: []string{first.URL, second.URL}, Profile: p, Rate: 200, Seconds: 0.5, Seed: 3,
		Candidates: testCandidates, MaximumOpen: 1000,
	})
	is.NoErr(err)
	is.True(report.Sent > 50)
	return report, records
}

func same(index int) int { return index }

func TestRun(t *testing.T) {
	t.Run("clean", func(t *testing.T) {
		is := is.New(t)
		f := &fake{corrupt: same}
		report, records := runAgainst(t, f)
		is.Equal(report.Count(OutcomeFinished), len(records))
		is.True(!report.Text.Wrong())
		for _, r := range records {
			is.True(r.Kind != KindCall || f.runs[r.Key] > 0)
		}
	})
	t.Run("resumesWhatIsCut", func(t *testing.T) {
		is := is.New(t)
		report, records := runAgainst(t, &fake{corrupt: same, cutAt: 2})
		is.Equal(report.Count(OutcomeFinished), len(records))
		is.True(report.Resumes > 0)
		is.True(!report.Text.Wrong())
	})
	t.Run("seesDoubled", func(t *testing.T) {
		is := is.New(t)
		report, _ := runAgainst(t, &fake{corrupt: func(i int) int { return i - i%2 }})
		is.True(report.Text.Doubled > 0)
		is.True(len(report.Samples) > 0)
	})
	t.Run("seesCrossed", func(t *testing.T) {
		is := is.New(t)
		report, _ := runAgainst(t, &fake{corrupt: func(i int) int { return i + 1_000_000 }})
		is.True(report.Text.Crossed > 0)
		is.True(report.Text.Lost > 0)
	})
	t.Run("optionFaults", func(t *testing.T) {
		is := is.New(t)
		err := (&Options{Targets: []string{"nowhere"}, Rate: -1, Seconds: 0, MaximumOpen: 0}).Check()
		for _, field := range []string{"target:", "rate:", "seconds:", "open:"} {
			is.True(strings.Contains(err.Error(), field))
		}
	})
}
