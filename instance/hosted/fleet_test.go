package hosted

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// fleet is a log, engines and instances on loopback.
type fleet struct {
	t         *testing.T
	log       *standin.Log
	engines   *standin.Engines
	instances []*Instance
	settings  []*platform.Settings
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, log: standin.NewLog(), engines: standin.NewEngines()}
	t.Cleanup(f.log.Close)
	return f
}

// catalogue publishes a version with routes of all kinds; the writes go to the named service.
func (f *fleet) catalogue(version int, writes string) {
	f.log.Put(platform.TopicOperator, platform.KeyCatalogue, standin.Catalogue(version, writes))
}

// engine adds an engine that is in the list.
func (f *fleet) engine(id, service string) *standin.Engine {
	e := f.engines.Start(id)
	f.t.Cleanup(e.Close)
	f.log.Put(platform.TopicEndpoints, id, e.Entry(service, "a", "ready"))
	return e
}

// newSettings gives settings of an instance on free ports.
func (f *fleet) newSettings() *platform.Settings {
	port := func() int {
		p, err := standin.FreePort()
		if err != nil {
			f.t.Fatal(err)
		}
		return p
	}
	at := func() netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port())) }
	peers := port()
	return &platform.Settings{
		Name: fmt.Sprint("instance-", len(f.instances)), Address: netip.MustParseAddr("127.0.0.1"), DataCentre: "a",
		Callers: at(), Readiness: at(), FirstPeerPort: peers, LastPeerPort: peers + 4, MemoryBytes: 256 << 20, Log: f.log.Address(),
		Drain: 2 * time.Second, Grace: 8 * time.Second, RetryRatio: 0.2, RetryWindow: 10 * time.Second, ExtraRetries: 50,
		Heartbeat: 1200 * time.Millisecond,
	}
}

// peers gives where the instances take reports.
func (f *fleet) peers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, i := range f.instances {
		peers = append(peers, i.exchange.self)
	}
	return peers
}

// start runs one more instance.
func (f *fleet) start() *Instance {
	f.t.Helper()
	return f.startAt(f.log)
}

// startAt runs one more instance that reads another log.
func (f *fleet) startAt(log *standin.Log) *Instance {
	s := f.newSettings()
	s.Log = log.Address()
	i := New(s, slog.New(slog.NewTextHandler(io.Discard, nil)))
	if err := i.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(i.Close)
	f.instances, f.settings = append(f.instances, i), append(f.settings, s)
	return i
}

// eventually waits until the condition holds.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for limit := time.Now().Add(20 * time.Second); time.Now().Before(limit); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("never came: %s", what)
}

func (f *fleet) ready(i *Instance) {
	f.t.Helper()
	f.eventually("ready", i.Ready)
}

// call is a request of a test.
type call struct {
	at      *Instance
	method  string
	path    string
	id      string
	key     string
	headers map[string]string
	body    string
}

func (f *fleet) do(c call) (*http.Response, string) {
	f.t.Helper()
	response := f.open(c)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		body = append(body, "broken: "+err.Error()...)
	}
	return response, string(body)
}

// streaming starts an instance and an engine, m-1, that streams the answer to a request.
func (f *fleet) streaming(id string, tokens int) (*Instance, *standin.Engine, *http.Response) {
	f.t.Helper()
	f.catalogue(1, "desk")
	engine := f.engine("m-1", "model")
	i := f.start()
	f.ready(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	response := f.open(call{at: i, method: "POST", path: "/long/", id: id, headers: map[string]string{standin.HeaderTokens: fmt.Sprint("100,", tokens)}})
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return i, engine, response
}

func (f *fleet) open(c call) *http.Response {
	f.t.Helper()
	request, err := http.NewRequest(c.method, "http://"+c.at.settings.Callers.String()+c.path, strings.NewReader(c.body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set(standin.HeaderRequest, c.id)
	request.Header.Set(standin.HeaderDeadline, "20000")
	request.Header.Set(standin.HeaderKey, standin.Key)
	if c.key != "" {
		request.Header.Set(standin.HeaderKey, c.key)
	}
	for name, value := range c.headers {
		request.Header.Set(name, value)
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

// assertEvents checks that a stream has each event once, in order.
func assertEvents(t *testing.T, body io.Reader, id string, count int) {
	t.Helper()
	is := is.New(t)
	scanner := bufio.NewScanner(body)
	next := 1
	for scanner.Scan() {
		if line, is := strings.CutPrefix(scanner.Text(), "data: "); is {
			if want := fmt.Sprintf("%s-%d", id, next); line != want {
				t.Fatalf("event %q, want %q", line, want)
			}
			next++
		}
	}
	is.NoErr(scanner.Err())
	is.Equal(next, count+1)
}
