package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	unframedEvery = 20                    // the 20th answer of one generator has no length: x = 0.05
	eventTime     = 10 * time.Millisecond // for one event
	eventTokens   = 4
)

// generator is a stand-in of a model engine, which runs as a process of its own so that it can be killed.
type generator struct {
	id      string
	folder  string // in which the generators note that one of them has sent an answer without a length
	answers atomic.Int64

	mutex   sync.Mutex
	running map[string]chan struct{} // runs in progress, with a channel that is closed when a run has to stop
}

// runGenerator serves at the address until the process ends. It writes a line to standard output for each run that it begins and ends.
func runGenerator(address, id, folder string) int {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	fmt.Println("listens", listener.Addr())
	g := &generator{id: id, folder: folder, running: make(map[string]chan struct{})}
	for {
		connection, err := listener.Accept()
		if err != nil {
			return exitFailed
		}
		go g.serve(connection)
	}
}

// serve answers the requests of one connection.
func (g *generator) serve(connection net.Conn) {
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
		if keep := g.answer(connection, request, body); !keep {
			return
		}
	}
}

// answer answers one request, and reports whether the connection is kept.
func (g *generator) answer(connection net.Conn, request *http.Request, body []byte) bool {
	id := request.Header.Get("Attempt-Id")
	expected := request.Header.Get("Expect-Instance")
	var head []byte
	switch {
	case request.URL.Path == healthPath:
		head = response(http.StatusOK, "", "Instance-Id: "+g.id+"\r\n", "")
	case expected != "" && expected != g.id:
		head = response(http.StatusMisdirectedRequest, "", "Instance-Id: "+g.id+"\r\n", "")
	case request.URL.Path == "/v1/kv-move":
		head = g.move(body)
	case strings.HasPrefix(request.URL.Path, "/v1/"): // no copies are kept here
		head = response(http.StatusNotFound, "", "", "")
	case request.Header.Get("Kv-From") != "":
		head = response(http.StatusServiceUnavailable, id, "Not-Executed: 1\r\n", "")
	default:
		return g.stream(connection, request, id)
	}
	_, err := connection.Write(head)
	return err == nil
}

// isUnframer reports whether the generator is the first that comes to send an answer without a length; no other one is sent.
func (g *generator) isUnframer() bool {
	file, err := os.OpenFile(filepath.Join(g.folder, "unframer"), os.O_CREATE|os.O_EXCL, 0o600)
	return err == nil && file.Close() == nil
}

// move refuses to copy a run, since there is no room; with last it stops the run first.
func (g *generator) move(body []byte) []byte {
	var call struct {
		ID   string `json:"id"`
		Last bool   `json:"last"`
	}
	if err := json.Unmarshal(body, &call); err != nil {
		return response(http.StatusBadRequest, "", "", "")
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	stop, known := g.running[call.ID]
	switch {
	case !known:
		return response(http.StatusNotFound, "", "", "")
	case call.Last:
		close(stop)
		delete(g.running, call.ID)
		return response(http.StatusServiceUnavailable, "", "Content-Type: application/json\r\n", `{"handle":"`+call.ID+`","created":0}`)
	default:
		return response(http.StatusServiceUnavailable, "", "", "")
	}
}

// begin notes that a run is in progress, and returns the channel that is closed when it has to stop.
func (g *generator) begin(id string) chan struct{} {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	stop := make(chan struct{})
	g.running[id] = stop
	return stop
}

func (g *generator) end(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	delete(g.running, id)
}

// stream makes the events of a run. Their number follows from the client's limit of output tokens.
func (g *generator) stream(connection net.Conn, request *http.Request, id string) bool {
	_, output, _ := strings.Cut(request.Header.Get("Token-Usage"), ",")
	tokens, err := strconv.Atoi(output)
	if err != nil {
		return false
	}
	unframed := g.answers.Add(1)%unframedEvery == 0 && g.isUnframer()
	framing := "Transfer-Encoding: chunked\r\n"
	if unframed {
		framing = "Connection: close\r\n"
	}
	fmt.Println("begins", id, unframed)
	stop := g.begin(id)
	defer g.end(id)
	_, err = fmt.Fprintf(connection, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: %s\r\nContent-Type: text/event-stream\r\n%s\r\n", id, signature(g.id, id), framing)
	for n := 1; n <= eventsOf(tokens) && err == nil; n++ {
		select {
		case <-stop: // the stream is closed without its end
			fmt.Println("stops", id)
			return false
		case <-time.After(eventTime):
		}
		event := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, id, n)
		if !unframed {
			event = fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		}
		_, err = io.WriteString(connection, event)
	}
	if err == nil && !unframed {
		_, err = io.WriteString(connection, "0\r\n\r\n")
	}
	fmt.Println("ends", id, err == nil)
	return err == nil && !unframed
}

func eventsOf(tokens int) int { return (tokens + eventTokens - 1) / eventTokens }

// errIncomplete is that of an answer whose end is missing.
var errIncomplete = errors.New("the end is missing")

// stream makes one request for a stream, and returns the last event that came and whether the answer ended as complete.
func stream(to, id string, tokens int, deadline time.Duration) (last int, err error) {
	connection, err := net.DialTimeout("tcp", to, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = connection.Close() }()
	_ = connection.SetDeadline(time.Now().Add(deadline))
	_, err = fmt.Fprintf(connection, "POST /lohu930/2f HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nModel: m\r\nToken-Usage: 800,%d\r\nPrompt-Prefix: 5c1e07a2:780,%s:20\r\n"+
		"Deadline-Ms: %d\r\nX-Api-Key: %s\r\nContent-Length: 2\r\n\r\n{}", host, id, tokens, id, deadline.Milliseconds(), key)
	if err != nil {
		return 0, err
	}
	answer, err := http.ReadResponse(bufio.NewReader(connection), &http.Request{Method: http.MethodPost})
	if err != nil {
		return 0, err
	}
	if answer.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("status %d", answer.StatusCode)
	}
	lines := bufio.NewReader(answer.Body)
	for {
		line, err := lines.ReadString('\n')
		if errors.Is(err, io.EOF) {
			return last, nil
		}
		if err != nil {
			return last, fmt.Errorf("%w: %w", errIncomplete, err)
		}
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			if last, err = strconv.Atoi(number); err != nil {
				return last, err
			}
		}
	}
}
