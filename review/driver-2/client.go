package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// answered is what a client has got for one request.
type answered struct {
	id        string
	status    int // zero: the connection ended without an answer
	signature string
	body      string
	err       error
}

func (a answered) String() string {
	if a.err != nil {
		return fmt.Sprintf("%s: no whole answer: %v", a.id, a.err)
	}
	return fmt.Sprintf("%s: %d, signature %q, body %q", a.id, a.status, a.signature, a.body)
}

// send makes one request on a new connection. The request line has the target as it is given.
func send(to, id, method, target, body string, deadline time.Duration) answered {
	a := answered{id: id}
	connection, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	_, a.err = fmt.Fprintf(connection, "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: %d\r\n\r\n%s",
		method, target, host, id, deadline.Milliseconds(), key, len(body), body)
	if a.err != nil {
		return a
	}
	response, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	data, err := io.ReadAll(response.Body)
	a.status, a.signature, a.body, a.err = response.StatusCode, response.Header.Get("Response-Signature"), string(data), err
	return a
}

const (
	sendPause   = 33 * time.Millisecond   // 30 requests a second
	callTimeout = 1500 * time.Millisecond // of the kind of request
)

// traffic is the requests of a case, which go to the instances in turn.
type traffic struct {
	record *record
	site   *site
	sent   int
	group  sync.WaitGroup

	mutex   sync.Mutex
	answers []answered
}

func newTraffic(r *record, s *site) *traffic { return &traffic{record: r, site: s} }

// send sends one request without waiting for its answer.
func (t *traffic) send(method, target string) {
	t.sent++
	id, to := fmt.Sprintf("%016x", 0x1c41d07be2a30000+t.sent), t.site.instances[t.sent%len(t.site.instances)]
	body := "depth of " + id
	if method == http.MethodGet {
		body = ""
	}
	t.group.Go(func() {
		a := send(to.front, id, method, target, body, callTimeout)
		t.record.note("client %s %s by %s: %s", method, target, to.name, a)
		t.mutex.Lock()
		defer t.mutex.Unlock()
		t.answers = append(t.answers, a)
	})
}

// wait waits until all requests have ended.
func (t *traffic) wait() { t.group.Wait() }

// isSigned reports whether an answer has a server's signature over the client's request.
func isSigned(a answered) bool { return strings.HasSuffix(a.signature, "."+a.id) }
