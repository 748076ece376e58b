package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// connection is a caller's connection on which a test writes what it likes.
type connection struct {
	t *testing.T
	net.Conn
}

func (f *fleet) connect(i *Instance) *connection {
	f.t.Helper()
	c, err := net.Dial("tcp", i.settings.Callers.String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.Close() })
	return &connection{f.t, c}
}

// write sends a part of a request; the instance may have closed the connection.
func (c *connection) write(text string) { _, _ = io.WriteString(c, text) }

// headOf returns the head of a request with further header lines.
func headOf(method, path, id, further string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: 20000\r\n%s: %s\r\n%s\r\n", method, path, standin.Host,
		standin.HeaderRequest, id, standin.HeaderDeadline, standin.HeaderKey, standin.Key, further)
}

// stopResult is what a caller got until its connection was closed.
type stopResult struct {
	status int // zero: no answer
	whole  bool
	retry  string
}

// read reads one answer.
func (c *connection) read() stopResult {
	_ = c.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return stopResult{}
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return stopResult{response.StatusCode, err == nil, response.Header.Get(standin.HeaderRetry)}
}

// A request that an instance has read whole must get an answer before a planned stop ends, in whatever state the notice finds it or it comes
// in after that: the endpoint's, or a refusal that says that it has not run, or at last that its outcome is unknown.
func TestStopCutsRequestWithoutAnswer(t *testing.T) {
	const grace = 4 * time.Second
	const stream = standin.HeaderTokens + ": %s\r\nContent-Length: 0\r\n"
	const body = "Content-Length: 10\r\n"
	for _, c := range []struct {
		name     string
		send     func(c *connection, noticed <-chan struct{})
		accepted []int // statuses of which the caller gets one
		promised bool  // whether the request must not run at all
	}{
		{"waits in the queue", func(c *connection, _ <-chan struct{}) {
			c.write(headOf("POST", "/long/", "q", fmt.Sprintf(stream, "100,50")))
		}, []int{503}, true},
		{"has been sent to an endpoint that is silent", func(c *connection, _ <-chan struct{}) {
			c.write(headOf("POST", "/write/silent", "w", "Content-Length: 0\r\n"))
		}, []int{502, 504}, false},
		{"has been sent and may be repeated", func(c *connection, _ <-chan struct{}) {
			c.write(headOf("GET", "/read/silent", "r", ""))
		}, []int{502, 504}, false},
		{"comes late on a connection that was silent", func(c *connection, noticed <-chan struct{}) {
			<-noticed
			time.Sleep(grace - 900*time.Millisecond)
			c.write(headOf("POST", "/write/silent", "s", "Content-Length: 0\r\n"))
		}, []int{503}, true},
		{"comes late after the half of its head", func(c *connection, noticed <-chan struct{}) {
			head := headOf("POST", "/write/silent", "h", "Content-Length: 0\r\n")
			c.write(head[:len(head)/2])
			<-noticed
			time.Sleep(grace - 900*time.Millisecond)
			c.write(head[len(head)/2:])
		}, []int{503}, true},
		{"comes late after the half of its head on a connection that was used before", func(c *connection, noticed <-chan struct{}) {
			c.write(headOf("POST", "/write/", "first", "Content-Length: 0\r\n"))
			if got := c.read(); got.status != http.StatusOK {
				c.t.Errorf("first answer: %+v", got)
			}
			head := headOf("POST", "/write/silent", "k", "Content-Length: 0\r\n")
			c.write(head[:len(head)/2])
			<-noticed
			time.Sleep(grace - 900*time.Millisecond)
			c.write(head[len(head)/2:])
		}, []int{503}, true},
		{"has a body that comes late", func(c *connection, noticed <-chan struct{}) {
			c.write(headOf("POST", "/write/silent", "b", body))
			<-noticed
			time.Sleep(grace - 900*time.Millisecond)
			c.write("0123456789")
		}, []int{503}, true},
		{"has a body that trickles in", func(c *connection, _ <-chan struct{}) {
			c.write(headOf("POST", "/write/silent", "t", body))
			for range 9 {
				c.write("x")
				time.Sleep(grace / 8)
			}
		}, []int{503}, true},
		{"is a long stream that comes after the notice", func(c *connection, noticed <-chan struct{}) {
			<-noticed
			time.Sleep(200 * time.Millisecond)
			c.write(headOf("POST", "/long/", "l", fmt.Sprintf(stream, "100,4000")))
		}, []int{503}, true},
		{"is short and comes after the notice", func(c *connection, noticed <-chan struct{}) {
			<-noticed
			time.Sleep(200 * time.Millisecond)
			c.write(headOf("POST", "/write/", "a", "Content-Length: 0\r\n"))
		}, []int{200}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.grace = grace
			f.publishCatalogue(1, "desk")
			desk := f.startEngine("d-1", "desk")
			desk.Fail(func(_ http.ResponseWriter, r *http.Request) bool {
				if !strings.HasSuffix(r.URL.Path, "/silent") {
					return false
				}
				<-r.Context().Done()
				return true
			})
			model := f.startEngine("m-1", "model")
			i := f.startInstance()
			f.awaitReady(i)
			f.eventually("endpoints", func() bool { return len(i.roster.List()) == 2 })
			model.Rest(http.StatusServiceUnavailable, 2*grace) // requests for it wait in the queue
			first := f.connect(i)
			first.write(headOf("POST", "/long/", "first", fmt.Sprintf(stream, "100,50")))
			f.eventually("rest", func() bool { return i.standings.Resting() == 1 })
			caller := f.connect(i)
			noticed := make(chan struct{})
			var sender sync.WaitGroup
			sender.Go(func() { c.send(caller, noticed) })
			defer sender.Wait()
			time.Sleep(300 * time.Millisecond)
			close(noticed)
			stopped := make(chan struct{})
			go func() {
				defer close(stopped)
				i.Drain()
				i.Close()
			}()
			got := caller.read()
			<-stopped
			t.Logf("%+v", got)
			is.True(slices.Contains(c.accepted, got.status))
			is.True(got.whole)
			if c.promised {
				is.True(got.retry != "")
				for _, e := range []*standin.Engine{desk, model} {
					for _, s := range e.Seen() {
						is.True(s.Header.Get(standin.HeaderRequest) == "first") // a refused request reached no endpoint
					}
				}
			}
		})
	}
}

// A head that its caller never finishes held the end of a stop up until its time was over, which was logged as a fault of the instance.
func TestHalfSentHeadHoldsStopUp(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.grace = 2 * time.Second
	output := &logLines{}
	f.output = output
	f.publishCatalogue(1, "desk")
	f.startEngine("d-1", "desk")
	i := f.startInstance()
	f.awaitReady(i)
	f.connect(i).write("GET /read/x HTTP/1.1\r\nHost: ")
	f.eventually("part of a head", func() bool {
		i.connections.mutex.Lock()
		defer i.connections.mutex.Unlock()
		for c := range i.connections.open {
			if c.state.Load() == connectionBusy {
				return true
			}
		}
		return false
	})
	i.Drain()
	i.Close()
	is.Equal(output.one(f, "stopped", "")["complete"], true)
	is.Equal(len(output.of("requests have not ended", "")), 0)
}

// A connection that is closed during a stop waits for its caller as long as answers are delivered, not only until requests are ended.
func TestStopLingersNotUntilClose(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t)
	f.grace = 2 * time.Second
	i := f.startInstance()
	i.Drain()
	is.Equal(*i.connections.until.Load(), i.plan.Load().Close)
}
