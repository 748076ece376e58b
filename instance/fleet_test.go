package instance

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"dogwooddyke/standin"
	"dogwooddyke/state/catalogue"
)

const (
	testPeerKey  = "peer-key-of-the-tests-0123456789abcdef"
	testTokenKey = "token-key-of-the-tests-0123456789abcdef"
	testKey      = "skaters-key"
	testWait     = 20 * time.Second
)

// fleet is a few instances before stand-ins, all in this process.
type fleet struct {
	t         *testing.T
	log       *standin.Log
	logAt     netip.AddrPort
	roster    *standin.Roster
	rosterAt  netip.AddrPort
	engines   []*standin.Engine
	enginesAt []netip.AddrPort
	services  []*standin.Service
	serviceAt []netip.AddrPort
	instances []*Instance
	offset    uint64
	group     conc.WaitGroup
	sections  string // further settings of each instance
	peers     string // further settings of its section [peers]
}

func newFleet(t *testing.T, engines, services, instances int) *fleet {
	t.Helper()
	return newFleetWith(t, engines, services, instances, "", "")
}

// newFleetWith adds sections to the instances' settings, and fields to their section [peers].
func newFleetWith(t *testing.T, engines, services, instances int, sections, peers string) *fleet {
	t.Helper()
	is := is.New(t)
	f := &fleet{
		t: t, log: standin.NewLog(standin.LogConfig{}), roster: standin.NewRoster(standin.RosterConfig{}),
		sections: sections, peers: peers,
	}
	var err error
	f.logAt, err = f.log.Listen(loopback())
	is.NoErr(err)
	f.rosterAt, err = f.roster.Listen(loopback())
	is.NoErr(err)
	for range engines {
		f.addEngine(standin.EngineConfig{Model: "ice", Version: "1", Repeatable: true})
	}
	for range services {
		f.addService()
	}
	f.publish(f.entry("isoraklet", catalogue.KindEngine), nil)
	if services > 0 {
		f.publish(f.entry("soundings", catalogue.KindService), nil)
	}
	f.publish(nil, &catalogue.Workspace{Name: "skaters", Owner: "islaget", KeyHashes: []string{hashOf(testKey)}})
	for range instances {
		f.addInstance()
	}
	t.Cleanup(f.close)
	f.awaitReady()
	return f
}

func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func hashOf(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

func (f *fleet) addEngine(config standin.EngineConfig) {
	is := is.New(f.t)
	e := standin.NewEngine(config)
	at, err := e.Listen(loopback())
	is.NoErr(err)
	f.engines = append(f.engines, e)
	f.enginesAt = append(f.enginesAt, at)
}

func (f *fleet) addService() {
	is := is.New(f.t)
	s := standin.NewService(standin.ServiceConfig{Name: "soundings"})
	at, err := s.Listen(loopback())
	is.NoErr(err)
	f.services = append(f.services, s)
	f.serviceAt = append(f.serviceAt, at)
}

// entry describes the fleet's engines or services.
func (f *fleet) entry(name string, kind catalogue.Kind) *catalogue.Entry {
	e := &catalogue.Entry{Name: name, Owner: "islaget", Kind: kind, Class: "assessment"}
	addresses := f.serviceAt
	if kind == catalogue.KindEngine {
		addresses = f.enginesAt
		e.Model, e.Version, e.Repeatable = "ice", "1", true
	} else {
		e.KeyRule = catalogue.KeyRuleOptional
		e.QueueTimeout = 2 * time.Second
	}
	for _, a := range addresses {
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: a, DataCentre: "lulea-a"})
	}
	return e
}

// publish appends a change that is based on nothing.
func (f *fleet) publish(entry *catalogue.Entry, workspace *catalogue.Workspace) {
	is := is.New(f.t)
	change := &catalogue.Change{
		ID: "change-" + strconv.FormatUint(f.offset, 10), Operator: "islaget", Seen: f.offset, Entry: entry, Workspace: workspace,
	}
	data, err := catalogue.Encode(catalogue.Record{Change: change})
	is.NoErr(err)
	f.offset, err = f.logClient().Append(f.t.Context(), catalogue.Stream, data)
	is.NoErr(err)
}

func (f *fleet) addInstance() *Instance {
	is := is.New(f.t)
	var listeners Listeners
	var err error
	for _, l := range []*net.Listener{&listeners.Callers, &listeners.Operators, &listeners.Peers} {
		*l, err = net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
	}
	settings, err := ParseSettings("test.ini", []byte("[instance]\ndataCentre = lulea-a\nnotice = 50ms\n"+
		"callers = "+listeners.Callers.Addr().String()+"\noperators = "+listeners.Operators.Addr().String()+
		"\npeers = "+listeners.Peers.Addr().String()+"\n[peers]\nkey = "+testPeerKey+"\n"+f.peers+f.sections+"[answers]\nkey = "+testTokenKey+
		"\n[platform]\nlog = http://"+f.logAt.String()+"\nroster = http://"+f.rosterAt.String()+"\n"))
	is.NoErr(err)
	i, err := New(settings, listeners, slog.New(slog.NewTextHandler(io.Discard, nil)))
	is.NoErr(err)
	is.NoErr(f.roster.Put(standin.Instance{
		Address: settings.Peers, Kind: standin.KindInstance, DataCentre: "lulea-a", State: standin.InstanceLive,
	}))
	i.Start(context.Background())
	f.instances = append(f.instances, i)
	return i
}

// awaitReady waits until every instance has the whole catalogue in force.
func (f *fleet) awaitReady() {
	f.await("instances ready", func() bool {
		for _, i := range f.instances {
			if !i.Ready() || i.View().Offset < f.offset || len(i.members.Live()) < len(f.instances) {
				return false
			}
		}
		return true
	})
}

// await polls until the condition holds; it fails only when the condition never comes about.
func (f *fleet) await(what string, holds func() bool) {
	f.t.Helper()
	deadline := time.Now().Add(testWait)
	for !holds() {
		if time.Now().After(deadline) {
			f.t.Fatalf("never came about: %s", what)
		}
		time.Sleep(5 * time.Millisecond)
	}
}

func (f *fleet) url(instance int) string {
	return "http://" + f.instances[instance].settings.Callers.String()
}

func (f *fleet) close() {
	f.group.Wait()
	for _, i := range f.instances {
		i.Close()
	}
	for _, e := range f.engines {
		_ = e.Close()
	}
	for _, s := range f.services {
		_ = s.Close()
	}
	_ = f.roster.Close()
	_ = f.log.Close()
}
