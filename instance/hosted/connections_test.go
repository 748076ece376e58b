package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
)

// callerServer is a server with the connections of an instance, and a handler of a test.
type callerServer struct {
	*connections
	server   *http.Server
	listener net.Listener
}

func startCallerServer(t *testing.T, handler http.HandlerFunc) *callerServer {
	t.Helper()
	bound, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	c := newConnections()
	s := &callerServer{
		connections: c,
		server:      &http.Server{Handler: c.guard(handler), ConnState: c.changed, ConnContext: c.context, ReadHeaderTimeout: time.Minute},
		listener:    trackingListener{bound, c},
	}
	var serving sync.WaitGroup
	serving.Go(func() { _ = s.server.Serve(s.listener) })
	t.Cleanup(func() {
		c.cut(time.Now())
		_ = s.server.Close()
		serving.Wait()
	})
	return s
}

func (s *callerServer) dial(t *testing.T) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// A request that is read in the moment in which idle connections are closed was passed on, and its connection closed without an answer.
func TestRequestReadWhileIdleConnectionsClose(t *testing.T) {
	const callers, rounds = 64, 20
	for round := range rounds {
		is := is.New(t)
		var passed atomic.Int64
		s := startCallerServer(t, func(w http.ResponseWriter, _ *http.Request) {
			passed.Add(1)
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		})
		var answered atomic.Int64
		var group sync.WaitGroup
		for range callers {
			c := s.dial(t)
			group.Go(func() {
				reader := bufio.NewReader(c)
				for {
					// The head comes in two parts: the connection is idle for the server until it has read both.
					if _, err := io.WriteString(c, "GET / HTTP/1.1\r\n"); err != nil {
						return
					}
					if _, err := io.WriteString(c, "Host: x\r\n\r\n"); err != nil {
						return
					}
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(response.Body); err != nil || string(body) != "whole" {
						return
					}
					answered.Add(1)
				}
			})
		}
		for answered.Load() < callers*4 {
			time.Sleep(time.Millisecond)
		}
		s.stop(time.Now().Add(time.Minute))
		_ = s.listener.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		is.NoErr(s.awaitEnd(ctx))
		cancel()
		_ = s.server.Close()
		group.Wait()
		if passed.Load() != answered.Load() {
			t.Fatalf("round %d: %d requests passed on, %d answered", round, passed.Load(), answered.Load())
		}
	}
}

// What decides is what has been read since the latest answer: a connection that is closed as idle is read no more, and one that is read is not closed.
func TestConnectionIsReadOrClosed(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, c := range []struct {
		name   string
		before func(c *callerConnection)
		after  time.Duration
		closed bool
	}{
		{"silent since lately", func(*callerConnection) {}, firstRequestTime - 1, false},
		{"silent for long", func(*callerConnection) {}, firstRequestTime, true},
		{"part of a first request", func(c *callerConnection) { c.begin() }, time.Hour, false},
		{"answered", func(c *callerConnection) { c.begin(); c.answered() }, 0, true},
		{"part of a second request", func(c *callerConnection) { c.begin(); c.answered(); c.begin() }, time.Hour, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := startCallerServer(t, func(http.ResponseWriter, *http.Request) {})
			connection := &callerConnection{TCPConn: s.dial(t).(*net.TCPConn), connections: s.connections, accepted: now}
			c.before(connection)
			connection.closeIdle(now.Add(c.after))
			is.Equal(connection.begin(), !c.closed)
		})
	}
}

// An answer to a request whose body is not read must reach a caller that sends the whole body before it reads.
func TestAnswerBeforeBodyIsLost(t *testing.T) {
	const size = 30 << 10
	for _, body := range []int{1 << 10, 128 << 10, 16 << 20} {
		t.Run(fmt.Sprint(body, " bytes"), func(t *testing.T) {
			is := is.New(t)
			s := startCallerServer(t, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Connection", "close")
				_, _ = io.WriteString(w, strings.Repeat("x", size))
			})
			c := dialNarrow(t, s.listener.Addr().String())
			_ = c.SetDeadline(time.Now().Add(20 * time.Second))
			_, err := fmt.Fprintf(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", body, strings.Repeat("b", body))
			t.Log("sent:", err)
			response, err := http.ReadResponse(bufio.NewReader(c), nil)
			is.NoErr(err)
			got, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(len(got), size)
		})
	}
}
