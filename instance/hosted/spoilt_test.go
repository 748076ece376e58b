package hosted

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// raw serves a request with bytes of its own over the connection, which it closes in the end.
func raw(serve func(c net.Conn, r *http.Request)) func(w http.ResponseWriter, r *http.Request) bool {
	return func(w http.ResponseWriter, r *http.Request) bool {
		connection, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return false
		}
		defer func() { _ = connection.Close() }()
		serve(connection, r)
		return true
	}
}

// head is the head of a signed answer; more headers may follow.
func head(r *http.Request) string {
	return "HTTP/1.1 200 OK\r\n" + standin.HeaderRequest + ": " + r.Header.Get(standin.HeaderRequest) + "\r\n" + standin.HeaderSignature + ": signed\r\n"
}

// endless writes the text again and again until the other side closes, and reports whether that happened.
func endless(c net.Conn, text string) bool {
	block := bytes.Repeat([]byte(text), 1+(32<<10)/len(text))
	_ = c.SetWriteDeadline(time.Now().Add(10 * time.Second))
	for {
		if _, err := c.Write(block); err != nil {
			timeout, ok := err.(net.Error)
			return !ok || !timeout.Timeout()
		}
	}
}

// reset ends a connection with a reset.
func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// spoiltFleet is an instance before one engine and one plain endpoint.
type spoiltFleet struct {
	*fleet
	instance    *Instance
	model, desk *standin.Engine
}

func newSpoiltFleet(t *testing.T) *spoiltFleet {
	f := &spoiltFleet{fleet: newFleet(t)}
	f.publishCatalogue(1, "desk")
	f.model, f.desk = f.startEngine("m-1", "model"), f.startEngine("d-1", "desk")
	f.instance = f.startInstance()
	f.awaitReady(f.instance)
	f.eventually("endpoints", func() bool { return len(f.instance.roster.List()) == 2 })
	return f
}

func TestAnswerWithNeitherLengthNorChunks(t *testing.T) {
	f := newSpoiltFleet(t)
	get := func(id string, serve func(c net.Conn, r *http.Request)) (*http.Response, string) {
		f.desk.Fail(raw(serve))
		return f.request(requestSpec{instance: f.instance, method: "POST", path: "/write/", id: id})
	}
	t.Run("ends with its connection", func(t *testing.T) {
		is := is.New(t)
		response, body := get("n1", func(c net.Conn, r *http.Request) { _, _ = io.WriteString(c, head(r)+"\r\nthe whole body") })
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, "the whole body")
	})
	t.Run("is not complete if the connection is reset", func(t *testing.T) {
		is := is.New(t)
		response, _ := get("n2", func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, head(r)+"\r\nhalf")
			time.Sleep(20 * time.Millisecond)
			reset(c)
		})
		is.Equal(response.StatusCode, http.StatusBadGateway)
	})
	t.Run("is not complete if the endpoint has crashed", func(t *testing.T) {
		is := is.New(t)
		response, _ := get("n3", func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, head(r)+"\r\nhalf")
			f.desk.StopListening()
		})
		is.Equal(response.StatusCode, http.StatusBadGateway)
	})
}

func TestStreamWithNeitherLengthNorChunks(t *testing.T) {
	events := func(count int) string {
		text := ""
		for n := range count {
			text += fmt.Sprintf("id: %d\ndata: u%d-%d\n\n", n+1, count, n+1)
		}
		return text
	}
	serve := func(end func(f *spoiltFleet, c net.Conn)) (*spoiltFleet, *http.Response, string) {
		f := newSpoiltFleet(t)
		f.model.Fail(raw(func(c net.Conn, r *http.Request) {
			_, _ = io.WriteString(c, head(r)+"Content-Type: text/event-stream\r\n\r\n"+events(3))
			time.Sleep(20 * time.Millisecond)
			end(f, c)
		}))
		response, body := f.request(requestSpec{instance: f.instance, method: "POST", path: "/long/", id: "u3", headers: map[string]string{standin.HeaderTokens: "100,3"}})
		return f, response, body
	}
	broken := func(body string) bool { return bytes.Contains([]byte(body), []byte("broken: ")) }
	t.Run("ends with its connection", func(t *testing.T) {
		is := is.New(t)
		_, response, body := serve(func(*spoiltFleet, net.Conn) {})
		is.Equal(response.StatusCode, http.StatusOK)
		is.Equal(body, events(3))
	})
	t.Run("is broken off if it ends inside an event", func(t *testing.T) {
		is := is.New(t)
		_, _, body := serve(func(_ *spoiltFleet, c net.Conn) { _, _ = io.WriteString(c, "id: 4\ndata: u3") })
		is.True(broken(body))
		is.Equal(body[:len(events(3))], events(3)) // no part of the fourth event
	})
	t.Run("is broken off if its connection is reset", func(t *testing.T) {
		is := is.New(t)
		_, _, body := serve(func(_ *spoiltFleet, c net.Conn) { reset(c) })
		is.True(broken(body))
	})
	t.Run("is broken off if its endpoint crashes between two events", func(t *testing.T) {
		is := is.New(t)
		_, _, body := serve(func(f *spoiltFleet, _ net.Conn) { f.model.StopListening() })
		is.True(broken(body))
	})
	t.Run("is broken off if its engine has crashed and another one listens at its address", func(t *testing.T) {
		is := is.New(t)
		_, _, body := serve(func(f *spoiltFleet, _ net.Conn) {
			at := f.model.Address().String()
			f.model.StopListening()
			listener, err := net.Listen("tcp", at)
			is.NoErr(err)
			reborn := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Instance-Id", "m-9")
				w.WriteHeader(http.StatusMisdirectedRequest)
			})}
			go func() { _ = reborn.Serve(listener) }()
			t.Cleanup(func() { _ = reborn.Close() })
		})
		is.True(broken(body))
	})
	t.Run("continues elsewhere if its run is moved", func(t *testing.T) {
		f := newFleet(t)
		f.publishCatalogue(1, "desk")
		one := f.startEngine("m-1", "model")
		one.Unframe()
		i := f.startInstance()
		f.awaitReady(i)
		f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
		response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "u9", headers: map[string]string{standin.HeaderTokens: "100,300"}})
		defer func() { _ = response.Body.Close() }()
		f.startEngine("m-2", "model").Unframe()
		f.log.Put(platform.TopicEndpoints, "m-1", one.Entry("model", "a", "draining"))
		assertEvents(t, response.Body, "u9", 300)
		is.New(t).Equal(f.engines.Ran("u9"), 1)
	})
}

// What precedes the bytes without end, other than the head of a success with more headers.
const (
	informational = "informational responses only"
	failure       = "the head of a failure"
	nothing       = "nothing"
)

func TestBytesWithoutEnd(t *testing.T) {
	f := newSpoiltFleet(t)
	for _, c := range []struct {
		name, path string
		engine     *standin.Engine
		head, text string
	}{
		{"in the head of an answer", "/write/", f.desk, "X-More: ", "x"},
		{"in heads that never end", "/write/", f.desk, "", "X-More: y\r\n"},
		{"in answers that announce others", "/write/", f.desk, informational, "HTTP/1.1 103 Early Hints\r\n\r\n"},
		{"in the body of an answer", "/write/", f.desk, "\r\n", "x"},
		{"in a status line", "/write/", f.desk, nothing, "HTTP/1.1 200 OK"},
		{"in the size of a chunk", "/write/", f.desk, "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"in the extension of a chunk", "/write/", f.desk, "Transfer-Encoding: chunked\r\n\r\n4;", "x"},
		{"in a trailer", "/write/", f.desk, "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", "X-More: y\r\n"},
		{"in the head of a stream", "/long/", f.model, "X-More: ", "x"},
		{"in an event", "/long/", f.model, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: ", "x"},
		{"in events without a number", "/long/", f.model, "Content-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n", ": x\n\n"},
		{"in the body of a stream's error", "/long/", f.model, failure, "x"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			closed := make(chan bool, 4)
			c.engine.Fail(raw(func(connection net.Conn, r *http.Request) {
				switch start := head(r); c.head {
				case informational, nothing:
				case failure:
					_, _ = io.WriteString(connection, strings.Replace(start, "200 OK", "500 Error", 1)+"\r\n")
				default:
					_, _ = io.WriteString(connection, start+c.head)
				}
				closed <- endless(connection, c.text)
			}))
			headers := map[string]string{}
			if c.path == "/long/" {
				headers[standin.HeaderTokens] = "100,300"
			}
			response, body := f.request(requestSpec{instance: f.instance, method: "POST", path: c.path, id: strings.ReplaceAll(c.name, " ", "-"), headers: headers})
			whole := response.StatusCode == http.StatusOK && !bytes.Contains([]byte(body), []byte("broken: "))
			is.True(!whole)
			is.True(<-closed) // the instance closes the connection
		})
	}
}

func TestRefusalOfAnotherRequestIsTakenForThisOne(t *testing.T) {
	for _, c := range []struct{ name, refusal string }{
		{"refused with 503", "HTTP/1.1 503 Service Unavailable\r\n" + standin.HeaderNotRun + ": 1\r\n"},
		{"refused with 429", "HTTP/1.1 429 Too Many Requests\r\n" + standin.HeaderNotRun + ": 1\r\n"},
		{"sent to another endpoint", "HTTP/1.1 421 Misdirected Request\r\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSpoiltFleet(t)
			f.startEngine("d-2", "desk").Fail(f.desk.LostBehind(c.refusal, "earlier"))
			f.desk.Fail(f.desk.LostBehind(c.refusal, "earlier"))
			f.eventually("endpoints", func() bool { return len(f.instance.roster.List()) == 3 })
			response, _ := f.request(requestSpec{instance: f.instance, method: "POST", path: "/write/", id: "r1"})
			is.Equal(response.StatusCode, http.StatusBadGateway)
			is.Equal(f.engines.Ran("r1"), 1)
		})
	}
}

func TestErrorIsSentWithinStream(t *testing.T) {
	const status = "HTTP/1.1 500 Internal Server Error\r\n"
	signature := standin.HeaderSignature + ": signed\r\n"
	stream := "Content-Type: text/event-stream\r\n"
	for _, c := range []struct{ name, answer string }{
		{"with a signature and a length", status + signature + "Content-Length: 7\r\n\r\nfailed\n"},
		{"without either", status + "\r\nfailed\n"},
		{"with the status of a success and no signature", "HTTP/1.1 200 OK\r\n" + stream + "\r\nid: 4\ndata: failed\n\n"},
		{"as text of a success", "HTTP/1.1 200 OK\r\n" + signature + stream + "\r\nfailed\n\n"},
		{"with its head in the body of a success", "HTTP/1.1 200 OK\r\n" + signature + stream + "\r\n" + status + "Content-Length: 7\r\n\r\nfailed\n"},
		{"behind an event that is missing", "HTTP/1.1 200 OK\r\n" + signature + stream + "\r\nid: 9\ndata: failed\n\n"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newSpoiltFleet(t)
			other := f.startEngine("m-2", "model")
			f.eventually("engines", func() bool { return len(f.instance.roster.List()) == 3 })
			const begun = "id: 1\ndata: b-1\n\nid: 2\ndata: b-2\n\n"
			serve := raw(func(connection net.Conn, r *http.Request) {
				if r.Header.Get(standin.HeaderLastEvent) != "" {
					_, _ = io.WriteString(connection, c.answer)
					return
				}
				_, _ = io.WriteString(connection, head(r)+stream+"Transfer-Encoding: chunked\r\n\r\n"+fmt.Sprintf("%x\r\n%s\r\n", len(begun), begun))
				time.Sleep(20 * time.Millisecond)
				reset(connection)
			})
			f.model.Fail(serve)
			other.Fail(serve)
			_, body := f.request(requestSpec{instance: f.instance, method: "POST", path: "/short/", id: "b1", headers: map[string]string{standin.HeaderTokens: "100,3"}})
			is.Equal(len(f.model.Seen())+len(other.Seen()), 2) // the second one answers with the error
			text, broken := strings.CutPrefix(body, begun)
			is.True(broken)
			is.True(strings.HasPrefix(text, "broken: ")) // not a part of the error, and not complete
		})
	}
}
