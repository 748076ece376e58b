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

// fleet is a log, engines and instances on loopback addresses.
type fleet struct {
	t         *testing.T
	log       *standin.Log
	engines   *standin.Engines
	instances []*Instance
	settings  []*platform.Settings
	drain     time.Duration // of instances that are started from now on
	grace     time.Duration // likewise
	output    io.Writer     // of the lines of instances that are started from now on
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, log: standin.NewLog(), engines: standin.NewEngines(), drain: 2 * time.Second, grace: 8 * time.Second, output: io.Discard}
	t.Cleanup(f.log.Close)
	return f
}

// publishCatalogue publishes a catalogue version with routes of all kinds; writes are routed to the named service.
func (f *fleet) publishCatalogue(version int, writes string) {
	f.log.Put(platform.TopicOperator, platform.KeyCatalogue, standin.Catalogue(version, writes))
}

// startEngine starts an engine and adds it to the endpoint list.
func (f *fleet) startEngine(id, service string) *standin.Engine {
	e := f.engines.Start(id)
	f.t.Cleanup(e.Close)
	f.log.Put(platform.TopicEndpoints, id, e.Entry(service, "a", "ready"))
	return e
}

// newSettings returns the settings of an instance on free ports.
func (f *fleet) newSettings() *platform.Settings {
	port := func() int {
		p, err := standin.FreePort()
		if err != nil {
			f.t.Fatal(err)
		}
		return p
	}
	address := func() netip.AddrPort { return netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(port())) }
	firstPeerPort := port()
	return &platform.Settings{
		Name: fmt.Sprint("instance-", len(f.instances)), Address: netip.MustParseAddr("127.0.0.1"), DataCentre: "a",
		Callers: address(), Readiness: address(), FirstPeerPort: firstPeerPort, LastPeerPort: firstPeerPort + 4, MemoryBytes: 256 << 20, Log: f.log.Address(),
		Drain: f.drain, Grace: f.grace, RetryRatio: 0.2, RetryWindow: 10 * time.Second, ExtraRetries: 50,
		Heartbeat: 1200 * time.Millisecond,
	}
}

// peerAddresses returns the addresses at which the instances receive reports.
func (f *fleet) peerAddresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	for _, i := range f.instances {
		addresses = append(addresses, i.gossiper.self)
	}
	return addresses
}

// startInstance starts another instance.
func (f *fleet) startInstance() *Instance {
	f.t.Helper()
	return f.startInstanceWithLog(f.log)
}

// startInstanceWithLog starts another instance, which uses the given log.
func (f *fleet) startInstanceWithLog(log *standin.Log) *Instance {
	s := f.newSettings()
	s.Log = log.Address()
	i := New(s, slog.New(slog.NewJSONHandler(f.output, nil)))
	if err := i.Start(context.Background()); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(i.Close)
	f.instances, f.settings = append(f.instances, i), append(f.settings, s)
	return i
}

// eventually waits until the condition holds, and fails the test after a timeout.
func (f *fleet) eventually(what string, holds func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	f.t.Fatalf("condition not met in time: %s", what)
}

func (f *fleet) awaitReady(i *Instance) {
	f.t.Helper()
	f.eventually("ready", i.Ready)
}

// requestSpec describes a request of a test.
type requestSpec struct {
	instance *Instance
	method   string
	path     string
	id       string
	key      string
	headers  map[string]string
	body     string
}

func (f *fleet) request(spec requestSpec) (*http.Response, string) {
	f.t.Helper()
	response := f.send(spec)
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		body = append(body, "broken: "+err.Error()...)
	}
	return response, string(body)
}

// startStream starts an instance and an engine, m-1, and sends a request whose response the engine streams.
func (f *fleet) startStream(id string, tokens int) (*Instance, *standin.Engine, *http.Response) {
	f.t.Helper()
	f.publishCatalogue(1, "desk")
	engine := f.startEngine("m-1", "model")
	i := f.startInstance()
	f.awaitReady(i)
	f.eventually("endpoints", func() bool { return len(i.roster.List()) == 1 })
	response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: id, headers: map[string]string{standin.HeaderTokens: fmt.Sprint("100,", tokens)}})
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return i, engine, response
}

func (f *fleet) send(spec requestSpec) *http.Response {
	f.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(f.newRequest(spec))
	if err != nil {
		f.t.Fatal(err)
	}
	return response
}

func (f *fleet) newRequest(spec requestSpec) *http.Request {
	f.t.Helper()
	request, err := http.NewRequest(spec.method, "http://"+spec.instance.settings.Callers.String()+spec.path, strings.NewReader(spec.body))
	if err != nil {
		f.t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set(standin.HeaderRequest, spec.id)
	request.Header.Set(standin.HeaderDeadline, "20000")
	request.Header.Set(standin.HeaderKey, standin.Key)
	if spec.key != "" {
		request.Header.Set(standin.HeaderKey, spec.key)
	}
	for name, value := range spec.headers {
		request.Header.Set(name, value)
	}
	return request
}

// assertEvents checks that a stream contains each event once and in order.
func assertEvents(t *testing.T, body io.Reader, id string, count int) {
	t.Helper()
	is := is.New(t)
	scanner := bufio.NewScanner(body)
	next := 1
	for scanner.Scan() {
		if line, found := strings.CutPrefix(scanner.Text(), "data: "); found {
			if want := fmt.Sprintf("%s-%d", id, next); line != want {
				t.Fatalf("event %q, want %q", line, want)
			}
			next++
		}
	}
	is.NoErr(scanner.Err())
	is.Equal(next, count+1)
}

// live returns the number of live instances that an instance knows, itself included.
func live(i *Instance) int {
	count, _ := i.gossiper.fleetSize(time.Now())
	return count
}
