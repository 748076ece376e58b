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
		c.endLinger(time.Now())
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

// A request that was read in the moment in which idle connections are closed was passed on, and its connection closed without an answer.
func TestRequestReadWhileIdleConnectionsClose(t *testing.T) {
	const callers, rounds = 64, 20
	for round := range rounds {
		is := is.New(t)
		var passed, answered atomic.Int64
		var s *callerServer
		s = startCallerServer(t, func(w http.ResponseWriter, _ *http.Request) {
			passed.Add(1)
			if s.stopping.Load() {
				w.Header().Set("Connection", "close")
			}
			time.Sleep(time.Millisecond)
			_, _ = io.WriteString(w, "whole")
		})
		begin := make(chan struct{})
		var idle, ended sync.WaitGroup
		for n := range callers {
			c := s.dial(t)
			idle.Add(1)
			ended.Go(func() {
				reader := bufio.NewReader(c)
				request := func() {
					// The head comes in two parts: the connection is idle for the server until it has read both.
					_, _ = io.WriteString(c, "GET / HTTP/1.1\r\n") // the server may have closed the connection
					_, _ = io.WriteString(c, "Host: x\r\n\r\n")
					response, err := http.ReadResponse(reader, nil)
					if err != nil {
						return
					}
					if body, err := io.ReadAll(response.Body); err == nil && string(body) == "whole" {
						answered.Add(1)
					}
				}
				request()
				idle.Done()
				<-begin
				time.Sleep(time.Duration(n) * 20 * time.Microsecond)
				request()
				_ = c.Close()
			})
		}
		idle.Wait()
		time.Sleep(nextRequestTime) // no further request is expected now
		close(begin)
		time.Sleep(500 * time.Microsecond)
		s.stop(time.Now().Add(time.Minute))
		_ = s.listener.Close()
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		is.NoErr(s.awaitEnd(ctx))
		cancel()
		ended.Wait()
		if passed.Load() != answered.Load() {
			t.Fatalf("round %d: %d requests passed on, %d answered", round, passed.Load(), answered.Load())
		}
	}
}

// A second request that had been read behind the first was dropped when that had been answered: its caller was not told that the connection would close.
func TestRequestBehindAnotherIsDropped(t *testing.T) {
	is := is.New(t)
	stopped := make(chan struct{})
	s := startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/second" {
			return
		}
		is.NoErr(http.NewResponseController(w).Flush())
		<-stopped
		_, _ = io.WriteString(w, "whole")
	})
	c := s.dial(t)
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	_, err := io.WriteString(c, "GET /first HTTP/1.1\r\nHost: x\r\n\r\nGET /second HTTP/1.1\r\nHost: x\r\n\r\n")
	is.NoErr(err)
	reader := bufio.NewReader(c)
	first, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	s.stop(time.Now().Add(time.Minute))
	close(stopped)
	body, err := io.ReadAll(first.Body)
	is.NoErr(err)
	is.Equal(string(body), "whole")
	second, err := http.ReadResponse(reader, nil)
	is.NoErr(err)
	is.Equal(second.StatusCode, http.StatusOK)
	_, err = reader.ReadByte()
	is.Equal(err, io.EOF) // the connection closes by itself after that
}

// A broken answer must not look whole, also where its end is marked by nothing but the end of the connection.
func TestBrokenAnswerLooksWhole(t *testing.T) {
	for _, version := range []string{"HTTP/1.1", "HTTP/1.0"} {
		t.Run(version, func(t *testing.T) {
			is := is.New(t)
			var s *callerServer
			s = startCallerServer(t, func(w http.ResponseWriter, r *http.Request) {
				_, _ = io.WriteString(w, "part")
				is.NoErr(http.NewResponseController(w).Flush())
				switch r.URL.Path {
				case "/broken":
					panic(http.ErrAbortHandler)
				case "/closed":
					s.endLinger(time.Now())
					_ = s.server.Close()
				}
			})
			read := func(path string) error {
				c := s.dial(t)
				_ = c.SetDeadline(time.Now().Add(20 * time.Second))
				_, err := io.WriteString(c, "GET "+path+" "+version+"\r\nHost: x\r\nConnection: close\r\n\r\n")
				is.NoErr(err)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return err
				}
				_, err = io.ReadAll(response.Body)
				return err
			}
			is.NoErr(read("/whole"))
			is.True(read("/broken") != nil)
			is.True(read("/closed") != nil)
		})
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
		{"answered just now", func(c *callerConnection) { c.begin(); c.answered(now) }, nextRequestTime - 1, false},
		{"answered", func(c *callerConnection) { c.begin(); c.answered(now) }, nextRequestTime, true},
		{"part of a second request", func(c *callerConnection) { c.begin(); c.answered(now); c.begin() }, time.Hour, false},
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
