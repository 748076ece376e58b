package hosted

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// dialNarrow connects over a link with small segments, of which the caller holds little: what it does not read remains at the server.
func dialNarrow(t *testing.T, address string) *connection {
	t.Helper()
	dialer := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var failed error
		err := raw.Control(func(fd uintptr) {
			failed = errors.Join(
				syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4096),
				syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400),
			)
		})
		return errors.Join(err, failed)
	}}
	c, err := dialer.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return &connection{t, c}
}

// signed begins the answer of a test's own endpoint.
func signed(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(standin.HeaderRequest, r.Header.Get(standin.HeaderRequest))
	w.Header().Set(standin.HeaderSignature, "signed")
}

// An answer that its endpoint has made whole must reach a caller that reads slowly, also if the instance has ended by the time it is read.
func TestStopCutsAnswerThatIsReadSlowly(t *testing.T) {
	const size = 150 << 10
	for _, c := range []struct {
		name, method, path, further string
		events                      bool
		behind                      string // that the caller sends behind its request
	}{
		{"whole answer", "GET", "/read/", "", false, ""},
		{"stream", "POST", "/long/", standin.HeaderTokens + ": 100,600\r\nContent-Length: 0\r\n", true, ""},
		{"whole answer, another request behind it", "GET", "/read/", "", false, headOf("GET", "/read/", "behind", "")},
		{"stream, bytes behind it", "POST", "/long/", standin.HeaderTokens + ": 100,600\r\nContent-Length: 0\r\n", true, "more than was announced"},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.grace = 2 * time.Second
			f.publishCatalogue(1, "desk")
			made := make(chan struct{})
			serve := func(w http.ResponseWriter, r *http.Request) bool {
				defer close(made)
				signed(w, r)
				if !c.events {
					_, _ = io.WriteString(w, strings.Repeat("x", size))
					return true
				}
				w.Header().Set("Content-Type", "text/event-stream")
				for n := range 150 {
					_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", n+1, strings.Repeat("x", size/150))
				}
				return true
			}
			for _, e := range []*standin.Engine{f.startEngine("d-1", "desk"), f.startEngine("m-1", "model")} {
				e.Fail(serve)
			}
			i := f.startInstance()
			f.awaitReady(i)
			f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
			caller := dialNarrow(t, i.settings.Callers.String())
			caller.write(headOf(c.method, c.path, "slow", c.further))
			<-made
			caller.write(c.behind) // the instance has read up to here
			i.Drain()
			i.Close()
			_ = caller.SetReadDeadline(time.Now().Add(20 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			is.NoErr(err)
			body, err := io.ReadAll(response.Body)
			t.Log(len(body), err)
			is.NoErr(err)
			is.Equal(strings.Count(string(body), "x"), size/150*150)
		})
	}
}

// An answer that began before the stop, and that its caller reads slowly, was reset by what the caller sent after the connection had been closed as idle.
func TestStreamReadSlowlyIsReset(t *testing.T) {
	const size = 150 << 10
	is := is.New(t)
	began, goOn := make(chan *callerConnection, 1), make(chan struct{})
	s := startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, "x")
		is.NoErr(http.NewResponseController(w).Flush())
		began <- r.Context().Value(connectionKey{}).(*callerConnection)
		<-goOn
		_, _ = io.WriteString(w, strings.Repeat("x", size))
	})
	caller := dialNarrow(t, s.listener.Addr().String())
	caller.write("GET / HTTP/1.1\r\nHost: x\r\n\r\n")
	connection := <-began
	s.stop(time.Now().Add(time.Minute))
	s.growSendBuffers()
	close(goOn)
	for connection.state.Load() <= connectionAnswered { // it is closed as idle after that
		time.Sleep(time.Millisecond)
	}
	caller.write("GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	time.Sleep(50 * time.Millisecond)
	_ = caller.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	is.NoErr(err)
	body, err := io.ReadAll(response.Body)
	t.Log(len(body), err)
	is.NoErr(err)
	is.Equal(len(body), size+1)
}
