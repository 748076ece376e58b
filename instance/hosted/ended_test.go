package hosted

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// logLine is a line of an instance's log.
type logLine map[string]any

// logLines keeps the lines of a log.
type logLines struct {
	mutex sync.Mutex
	lines []logLine
}

func (l *logLines) Write(text []byte) (int, error) {
	var line logLine
	if err := json.Unmarshal(text, &line); err != nil {
		return 0, err
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lines = append(l.lines, line)
	return len(text), nil
}

// of returns the lines with that message and id.
func (l *logLines) of(message, id string) []logLine {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	var found []logLine
	for _, line := range l.lines {
		if line["msg"] == message && (id == "" || line["id"] == id) {
			found = append(found, line)
		}
	}
	return found
}

// one returns the only such line, which it waits for.
func (l *logLines) one(f *fleet, message, id string) logLine {
	f.t.Helper()
	f.eventually(fmt.Sprint("line ", message, " of ", id), func() bool { return len(l.of(message, id)) > 0 })
	found := l.of(message, id)
	if len(found) != 1 {
		f.t.Fatalf("%d lines %q of %q", len(found), message, id)
	}
	return found[0]
}

// begunConnection is a connection from which the begin of an answer was read, which comes again.
type begunConnection struct {
	net.Conn
	reader io.Reader
}

func (b begunConnection) Read(data []byte) (int, error) { return b.reader.Read(data) }

// An answer that a planned stop cuts was logged like one whose caller had left, or not at all, and no instance logged its stop.
func TestStopLogsCutAnswerAsCallerLeft(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.grace = 2 * time.Second
	output := &logLines{}
	f.output = output
	f.publishCatalogue(1, "desk")
	desk := f.startEngine("d-1", "desk")
	desk.Fail(func(w http.ResponseWriter, r *http.Request) bool {
		switch r.URL.Path {
		case "/write/silent":
			<-r.Context().Done()
			return true
		case "/write/large":
			w.Header().Set(standin.HeaderSignature, "d-1")
			_, _ = w.Write(bytes.Repeat([]byte("x"), 7<<20))
			return true
		default:
			return false
		}
	})
	f.startEngine("m-1", "model")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
	const stream = standin.HeaderTokens + ": 100,2900\r\nContent-Length: 0\r\n"
	streaming, leaving, unanswered, slow := f.connect(i), f.connect(i), f.connect(i), f.connect(i)
	is.NoErr(slow.Conn.(*net.TCPConn).SetReadBuffer(4 << 10))
	streaming.write(headOf("POST", "/long/", "streaming", stream))
	leaving.write(headOf("POST", "/long/", "leaving", stream))
	unanswered.write(headOf("POST", "/write/silent", "unanswered", "Content-Length: 0\r\n"))
	slow.write(headOf("POST", "/write/large", "slow", "Content-Length: 0\r\n"))
	f.eventually("requests in progress", func() bool { return i.front.InFlight() == 4 && len(desk.Seen()) == 2 })
	for _, c := range []*connection{streaming, leaving} {
		begin := make([]byte, 200)
		n, err := c.Read(begin)
		is.NoErr(err)
		c.Conn = begunConnection{c.Conn, io.MultiReader(bytes.NewReader(begin[:n]), c.Conn)}
	}
	is.NoErr(leaving.Close())
	f.eventually("caller left", func() bool { return i.front.InFlight() == 3 })
	got := make(map[*connection]chan stopResult)
	for _, c := range []*connection{streaming, unanswered} {
		result := make(chan stopResult, 1)
		got[c] = result
		go func() { result <- c.read() }()
	}
	i.Drain()
	i.Close()
	for _, c := range []struct {
		id, outcome, reason, phase string
	}{
		{"streaming", "interrupted", "closing", "streaming"},
		{"leaving", "left", "caller", "streaming"},
		{"unanswered", "unknown", "closing", "sent"},
		{"slow", "interrupted", "closing", "delivering"},
	} {
		l := output.one(f, "ended", c.id)
		t.Log(l)
		is.Equal(fmt.Sprint(l["outcome"], l["reason"], l["phase"]), fmt.Sprint(c.outcome, c.reason, c.phase))
		if c.reason == "closing" {
			is.Equal(l["error"], "instance closes")
		}
	}
	is.True(output.one(f, "ended", "slow")["unsentBytes"].(float64) > 0)
	is.True(output.one(f, "ended", "streaming")["lastEventMs"].(float64) >= 0)
	is.Equal(output.one(f, "dispatch failed", "streaming")["cause"], "instance closes")
	is.Equal(output.one(f, "dispatch failed", "unanswered")["cause"], "instance closes")
	output.one(f, "stopped", "")
	is.Equal(<-got[streaming], stopResult{status: http.StatusOK}) // breaks off visibly
	is.Equal(<-got[unanswered], stopResult{status: http.StatusBadGateway, whole: true})
}
