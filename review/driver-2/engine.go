package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// arrival is a request that an engine has read.
type arrival struct {
	id     string
	method string
	target string // as it stands in the request line
	header http.Header
	body   string
	run    bool // the engine began to work on it
}

// engine is a stand-in of a plain service. It writes its answers as bytes, so that a case can spoil them.
type engine struct {
	id       string
	service  string
	zone     string
	listener net.Listener
	work     time.Duration // on one request
	born     int64

	mutex    sync.Mutex
	arrivals []arrival
	answers  int                                           // since the present fault began, or since the start
	fault    func(n int, a *arrival, answer []byte) []byte // returns the bytes that are sent in place of the n-th answer since it began
}

func newEngine(id, service, zone string) (*engine, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &engine{id: id, service: service, zone: zone, listener: listener, work: 30 * time.Millisecond, born: time.Now().UnixMilli()}
	go func() {
		for {
			connection, err := listener.Accept()
			if err != nil {
				return
			}
			go e.serve(connection)
		}
	}()
	return e, nil
}

// entry is the engine's record in the platform's store.
func (e *engine) entry(sequence int) []byte {
	data, err := json.Marshal(map[string]any{
		"service": e.service, "address": e.listener.Addr().String(), "zone": e.zone, "version": "v1", "slots": 6,
		"state": "ready", "cold_remaining_ms": 0, "sequence": sequence, "born": e.born,
	})
	if err != nil {
		panic(err) // the fields are plain
	}
	return data
}

func (e *engine) setFault(fault func(n int, a *arrival, answer []byte) []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if e.fault == nil {
		e.answers = 0
	}
	e.fault = fault
}

// serve answers the requests of one connection, one after the other.
func (e *engine) serve(connection net.Conn) {
	defer func() { _ = connection.Close() }()
	reader := bufio.NewReader(connection)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, err := io.ReadAll(request.Body)
		if err != nil {
			return
		}
		if _, err := connection.Write(e.answer(request, string(body))); err != nil {
			return
		}
	}
}

// answer returns the bytes of the answer to a request, which it notes.
func (e *engine) answer(request *http.Request, body string) []byte {
	if request.URL.Path == healthPath {
		return response(http.StatusOK, "", "Instance-Id: "+e.id+"\r\n", "")
	}
	a := arrival{id: request.Header.Get("Attempt-Id"), method: request.Method, target: request.RequestURI, header: request.Header, body: body}
	if expected := request.Header.Get("Expect-Instance"); expected != "" && expected != e.id {
		e.note(a)
		return response(http.StatusMisdirectedRequest, "", "Instance-Id: "+e.id+"\r\n", "")
	}
	a.run = true
	n, fault := e.note(a)
	time.Sleep(e.work)
	text := fmt.Sprintf("answer of %s to %s %s %s", e.id, a.id, a.method, a.target)
	answer := response(http.StatusOK, a.id, "Response-Signature: "+signature(e.id, a.id)+"\r\n", text)
	if fault != nil {
		return fault(n, &a, answer)
	}
	return answer
}

// note records an arrival, and returns its number among those that ran since the engine's present fault began, and that fault.
func (e *engine) note(a arrival) (int, func(int, *arrival, []byte) []byte) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.arrivals = append(e.arrivals, a)
	if a.run {
		e.answers++
	}
	return e.answers, e.fault
}

// seen returns the requests that the engine has read.
func (e *engine) seen() []arrival {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	return append([]arrival(nil), e.arrivals...)
}

// signature is what an engine signs its answer to a request with.
func signature(engine, id string) string { return "sig." + engine + "." + id }

// response writes an answer with a length.
func response(status int, id, header, body string) []byte {
	if id != "" {
		header += "Attempt-Id: " + id + "\r\n"
	}
	return fmt.Appendf(nil, "HTTP/1.1 %03d %s\r\n%sContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), header, len(body), body)
}
