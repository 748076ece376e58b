package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// attempt is one request of a client, with a connection of its own, and what came of it.
type attempt struct {
	id        string
	path      string
	key       string
	usage     string // of a generation; empty: a call of an application
	deadline  time.Duration
	patience  time.Duration // until the first event, after which the client leaves; zero: no limit
	sentAt    time.Time
	endedAt   time.Time
	status    int // zero: no answer
	signature string
	body      []byte
	broken    error // why the answer is not whole; nil if its end came
	left      bool  // the client gave up
}

const host = "service.example"

// send sends the request to an instance and waits for the end.
func (a *attempt) send(r *record, to *instance) {
	ctx, cancel := context.WithTimeout(context.Background(), a.deadline)
	defer cancel()
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	defer transport.CloseIdleConnections()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+to.callers+a.path, strings.NewReader("body of "+a.id))
	if err != nil {
		a.broken = err
		return
	}
	request.Host = host
	request.Header.Set(headerAttempt, a.id)
	request.Header.Set(headerKey, a.key)
	request.Header.Set(headerDeadline, fmt.Sprint(a.deadline.Milliseconds()))
	if a.usage != "" {
		request.Header.Set("Model", "m")
		request.Header.Set(headerUsage, a.usage)
		request.Header.Set("Prompt-Prefix", fmt.Sprintf("%x:79,%x:31", "shared", a.id))
	}
	a.sentAt = time.Now()
	r.line("client sends %s to %s%s with key %s", a.id, to.name, a.path, a.key)
	a.receive(request, transport, cancel)
	a.endedAt = time.Now()
	r.line("client has of %s: status %d, %d bytes, %s, after %d ms", a.id, a.status, len(a.body), a.how(), a.endedAt.Sub(a.sentAt).Milliseconds())
}

// receive reads the answer; a client whose patience ends before the head of the answer leaves.
func (a *attempt) receive(request *http.Request, transport *http.Transport, leave func()) {
	left := make(chan struct{})
	var timer *time.Timer
	if a.patience > 0 {
		timer = time.AfterFunc(a.patience, func() {
			close(left)
			leave()
		})
	}
	response, err := transport.RoundTrip(request)
	if timer != nil && !timer.Stop() {
		<-left
		a.left = true
	}
	a.read(response, err)
}

func (a *attempt) read(response *http.Response, err error) {
	if err != nil {
		a.broken = err
		return
	}
	defer func() { _ = response.Body.Close() }()
	a.status, a.signature = response.StatusCode, response.Header.Get(headerSigned)
	a.body, a.broken = io.ReadAll(response.Body)
}

// how tells how the answer ended.
func (a *attempt) how() string {
	switch {
	case a.left:
		return "client left"
	case a.broken != nil && a.status == 0:
		return "no answer: " + a.broken.Error()
	case a.broken != nil:
		return "broken off: " + a.broken.Error()
	default:
		return "ended as whole"
	}
}

// unanswered reports whether the connection ended without a whole answer, though the client had not left.
func (a *attempt) unanswered() bool { return a.broken != nil && !a.left }

// events returns how many events of the stream came in order, and whether the last one did.
func (a *attempt) events(count int) (got int, last bool) {
	rest := a.body
	for n := 1; n <= count; n++ {
		text := []byte(eventText(a.id, n, count))
		if !bytes.HasPrefix(rest, text) {
			return n - 1, false
		}
		rest = rest[len(text):]
	}
	return count, len(rest) == 0
}
