package standin

import (
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipes is a listener whose connections live in memory, so that they can be used in a synctest bubble.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipes() *pipes { return &pipes{conns: make(chan net.Conn), closed: make(chan struct{})} }

func (p *pipes) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipes) Close() error   { close(p.closed); return nil }
func (p *pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p *pipes) dial(context.Context, string, string) (net.Conn, error) {
	client, server := net.Pipe()
	p.conns <- server
	return client, nil
}

func TestSilence(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		l := NewLog(LogConfig{})
		p := newPipes()
		is.NoErr(l.Serve(p))
		transport := &http.Transport{DialContext: p.dial}
		client := &http.Client{Transport: transport}
		send := func(span time.Duration) error {
			ctx, cancel := context.WithTimeout(t.Context(), span)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://log/streams/s", nil)
			is.NoErr(err)
			response, err := client.Do(request)
			if err != nil {
				return err
			}
			_, err = io.Copy(io.Discard, response.Body)
			return err
		}
		is.NoErr(send(time.Second))
		idle, err := p.dial(t.Context(), "", "")
		is.NoErr(err)
		synctest.Wait()
		is.NoErr(l.Fault(Fault{Kind: FaultSilence}))
		is.True(send(time.Hour) != nil) // on the old connection, which the client then gives up
		is.NoErr(send(time.Second))     // on a new one
		transport.CloseIdleConnections()
		is.NoErr(l.Fault(Fault{Kind: FaultDie, Until: in(time.Minute)}))
		is.NoErr(idle.SetReadDeadline(in(time.Hour)))
		_, err = idle.Read(make([]byte, 1))
		is.True(errors.Is(err, os.ErrDeadlineExceeded)) // not even a death is heard
		is.NoErr(l.Close())
	})
}

// dial opens a connection and sends a request head on it.
func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	conn, err := (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = conn.Write([]byte("GET /load HTTP/1.1\r\nHost: e\r\n\r\n"))
	is.New(t).NoErr(err)
	return conn
}

func TestDie(t *testing.T) {
	is := is.New(t)
	e, url := startEngine(t, fast())
	address := url[len("http://"):]
	old := dial(t, address)
	_, err := old.Read(make([]byte, 1<<12))
	is.NoErr(err)
	response := post(t, url+"/v1/chat/completions", "g", chat("tokens=30000", ""))
	is.NoErr(e.Fault(Fault{Kind: FaultDie, Until: in(time.Hour)}))
	_, err = old.Read(make([]byte, 1))
	is.True(err != nil)
	_, done := events(t, response)
	is.True(!done)
	_, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	is.True(err != nil) // refused
	e.ClearFaults()
	for err != nil {
		_, err = (&net.Dialer{}).DialContext(t.Context(), "tcp", address)
	}
	is.Equal(get(t, url+"/generations/g?from=0").StatusCode, http.StatusNotFound) // state is lost
	is.Equal(e.Starts("g"), 1)
}

func TestFaultCheck(t *testing.T) {
	s := stopped(t, NewService(ServiceConfig{}))
	for _, body := range []string{
		`{`, `{}`, `{"kind":"reorder"}`, `{"kind":"pause"}`, `{"kind":"slow"}`, `{"kind":"lose","value":1.5}`,
		`{"kind":"outage","until":"2999-01-01T00:00:00Z"}`, `{"kind":"dropAnswer","value":-1}`,
	} {
		assertNotRun(t, call(s, http.MethodPost, "/fault", body), http.StatusBadRequest)
	}
	is := is.New(t)
	is.True(s.Fault(Fault{Kind: FaultSlow, Value: math.NaN()}) != nil)
	is.Equal(call(s, http.MethodGet, "/fault", "").Code, http.StatusMethodNotAllowed)
	assertNotRun(t, call(s, http.MethodPost, "/x", string(make([]byte, maximumBody+1))), http.StatusBadRequest)
}

func FuzzParseFault(f *testing.F) {
	f.Add([]byte(`{"kind":"slow","until":"2030-01-01T00:00:00Z","value":2}`))
	f.Fuzz(func(t *testing.T, body []byte) {
		fault, err := ParseFault(body)
		if err != nil {
			return
		}
		now := time.Now()
		if fault.check(append(perturbations, FaultSlow, FaultLag, FaultPause), now) != nil {
			return
		}
		lowest, highest := fault.bounds()
		if !(fault.Value >= lowest && fault.Value <= highest) || fault.Until.Sub(now) > maximumFaultTime {
			t.Errorf("accepted %+v", fault)
		}
	})
}

func FuzzParsePrompt(f *testing.F) {
	f.Add([]byte(chat("tokens=5", `,"n":1`)), true)
	f.Add([]byte(`{"prompt":["a"],"max_tokens":3}`), false)
	f.Fuzz(func(t *testing.T, body []byte, chat bool) {
		asked, err := parsePrompt(body, chat)
		if err != nil {
			return
		}
		if asked.Maximum < 0 || asked.Directive < 0 || asked.Directive > 999_999 {
			t.Errorf("accepted %+v", asked)
		}
		if again, err := parsePrompt(bytes.Clone(body), chat); err != nil || again.Text != asked.Text {
			t.Errorf("read differently: %v", err)
		}
	})
}
