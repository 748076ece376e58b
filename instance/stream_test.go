package instance

import (
	"bufio"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/standin"
)

// event is one server-sent event.
type event struct {
	id   string
	data string
}

// post starts a streamed answer at the instance.
func (f *fleet) post(instance int, body string) *http.Response {
	is := is.New(f.t)
	return f.do(f.request(instance, http.MethodPost, "/v1/chat/completions", body), is)
}

func (f *fleet) request(instance int, method, path, body string) *http.Request {
	is := is.New(f.t)
	request, err := http.NewRequestWithContext(f.t.Context(), method, f.url(instance)+path, strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+testKey)
	return request
}

func (f *fleet) do(request *http.Request, is *is.I) *http.Response {
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	if response.StatusCode != http.StatusOK {
		f.t.Logf("%s %s: %s, %s, %s", request.Method, request.URL, response.Status, response.Header.Get("Outcome"), response.Header.Get("Retry-After"))
	}
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// readEvents reads up to the number of events, or to the stream's end.
func readEvents(body io.Reader, most int) []event {
	var events []event
	var current event
	lines := bufio.NewScanner(body)
	for len(events) < most && lines.Scan() {
		switch line := lines.Text(); {
		case line == "":
			events = append(events, current)
			current = event{}
		case strings.HasPrefix(line, "id: "):
			current.id = line[len("id: "):]
		case strings.HasPrefix(line, "data: "):
			current.data = line[len("data: "):]
		}
	}
	return events
}

// textOf joins the tokens of the events.
func textOf(t *testing.T, events []event) string {
	t.Helper()
	is := is.New(t)
	var text strings.Builder
	for _, e := range events {
		_, after, found := strings.Cut(e.data, `"content":"`)
		if !found {
			continue
		}
		content, _, closed := strings.Cut(after, `"`)
		is.True(closed)
		text.WriteString(content)
	}
	return text.String()
}

const longQuestion = `{"model":"isoraklet","stream":true,"seed":7,"messages":[{"role":"user","content":"tokens=120 long"}]}`

// wantText is the whole text that a repeatable engine gives to longQuestion.
func wantText() string {
	return standin.NewText("1", 7, "tokens=120 long", "").Join(120)
}

func assertWhole(t *testing.T, events []event) {
	t.Helper()
	is := is.New(t)
	is.True(len(events) > 0)
	is.Equal(events[len(events)-1].data, "[DONE]")
	is.Equal(textOf(t, events), wantText())
}

func TestDrain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 1)
	response := f.post(0, longQuestion)
	first := readEvents(response.Body, 1)
	drained := make(chan error, 1)
	f.group.Go(func() { drained <- f.instances[0].Drain(f.t.Context()) })
	f.await("refusal", func() bool {
		refused := f.post(0, longQuestion)
		return refused.StatusCode == http.StatusServiceUnavailable && refused.Header.Get("Outcome") == "notRun"
	})
	rest := readEvents(response.Body, 1<<20)
	assertWhole(t, append(first, rest...))
	is.NoErr(<-drained)
	is.Equal(f.instances[0].handler.InFlight(), 0)
}

func TestResumeElsewhere(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0, 2)
	response := f.post(0, longQuestion)
	events := readEvents(response.Body, 20)
	f.instances[0].Close()
	id := response.Header.Get("Answer-Id")
	again := f.request(1, http.MethodGet, "/v1/answers/"+id, "")
	again.Header.Set("Last-Event-ID", events[len(events)-1].id)
	resumed := f.do(again, is)
	is.Equal(resumed.StatusCode, http.StatusOK)
	assertWhole(t, append(events, readEvents(resumed.Body, 1<<20)...))
	f.instances = f.instances[1:]
}

// killBusyEngine lets the engine with a generation in progress lose its state.
func (f *fleet) killBusyEngine() {
	is := is.New(f.t)
	for _, e := range f.engines {
		if e.Truth().Running > 0 {
			is.NoErr(e.Fault(standin.Fault{Kind: standin.FaultDie, Until: time.Now().Add(time.Minute)}))
			return
		}
	}
	f.t.Fatal("no engine is busy")
}

func TestReplayElsewhere(t *testing.T) {
	f := newFleet(t, 2, 0, 1)
	response := f.post(0, longQuestion)
	events := readEvents(response.Body, 20)
	f.killBusyEngine()
	assertWhole(t, append(events, readEvents(response.Body, 1<<20)...))
}

// TestInstanceAndEngineLost loses both at once; the caller goes on elsewhere with the body that it sent first.
func TestInstanceAndEngineLost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 0, 2)
	response := f.post(0, longQuestion)
	events := readEvents(response.Body, 20)
	f.killBusyEngine()
	f.instances[0].Close()
	path := "/v1/answers/" + response.Header.Get("Answer-Id")
	last := events[len(events)-1].id
	t.Run("withoutBody", func(t *testing.T) {
		is := is.New(t)
		again := f.request(1, http.MethodGet, path, "")
		again.Header.Set("Last-Event-ID", last)
		ended := f.do(again, is)
		is.Equal(ended.StatusCode, http.StatusBadGateway)
		is.Equal(ended.Header.Get("Outcome"), "interrupted")
	})
	t.Run("withBody", func(t *testing.T) {
		is := is.New(t)
		again := f.request(1, http.MethodPost, path, longQuestion)
		again.Header.Set("Last-Event-ID", last)
		resumed := f.do(again, is)
		is.Equal(resumed.StatusCode, http.StatusOK)
		assertWhole(t, append(events, readEvents(resumed.Body, 1<<20)...))
	})
	is.NoErr(f.roster.Put(standin.Instance{
		Address: f.instances[0].settings.Peers, Kind: standin.KindInstance, DataCentre: "lulea-a", State: standin.InstanceLeaving,
	}))
	f.instances = f.instances[1:]
}

func TestForeignToken(t *testing.T) {
	f := newFleet(t, 1, 0, 1)
	response := f.post(0, longQuestion)
	events := readEvents(response.Body, 20)
	for name, token := range map[string]string{
		"missing": "",
		"forged":  strings.Repeat("A", len(events[0].id)),
		"cut":     events[0].id[:len(events[0].id)-2],
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			again := f.request(0, http.MethodGet, "/v1/answers/"+response.Header.Get("Answer-Id"), "")
			again.Header.Set("Last-Event-ID", token)
			is.Equal(f.do(again, is).StatusCode, http.StatusBadRequest)
		})
	}
	t.Run("otherAnswer", func(t *testing.T) {
		is := is.New(t)
		again := f.request(0, http.MethodGet, "/v1/answers/answer-other", "")
		again.Header.Set("Last-Event-ID", events[0].id)
		is.Equal(f.do(again, is).StatusCode, http.StatusBadRequest)
	})
}

func TestExplain(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 2)
	response := f.post(0, longQuestion)
	assertWhole(t, readEvents(response.Body, 1<<20))
	for _, i := range f.instances {
		found, ok := i.explain(t.Context(), response.Header.Get("Answer-Id"))
		is.True(ok)
		is.Equal(found.Steps[len(found.Steps)-1].Kind, "finished")
	}
}
