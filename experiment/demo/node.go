package demo

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"log/slog"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"text/template"
	"time"

	"dogwooddyke/instance"
	"dogwooddyke/standin"
	"dogwooddyke/transport/operator"
)

const dataCentre = "demo-a"

// node is one instance and its place on the platform's list.
type node struct {
	instance *instance.Instance
	settings *instance.Settings
	site     *site
	stopped  atomic.Bool
}

// secrets are the keys that the instances of one fleet share.
type secrets struct {
	Peer  string
	Token string
}

func newSecrets() secrets {
	return secrets{Peer: randomKey(), Token: randomKey()}
}

func randomKey() string {
	var key [24]byte
	_, _ = rand.Read(key[:])
	return hex.EncodeToString(key[:])
}

var settingsText = template.Must(template.New("settings").Parse(`
[instance]
dataCentre = {{.DataCentre}}
callers = {{.Callers}}
operators = {{.Operators}}
peers = {{.Peers}}
[peers]
key = {{.Secrets.Peer}}
[answers]
key = {{.Secrets.Token}}
grace = {{.Grace}}
[platform]
log = http://{{.Log}}
roster = http://{{.Roster}}
`))

// startNode starts an instance on ports that the system picks and lists it.
func startNode(ctx context.Context, s *site, grace time.Duration, keys secrets, logger *slog.Logger) (*node, error) {
	listeners, err := openListeners()
	if err != nil {
		return nil, err
	}
	settings, err := newSettings(s, grace, keys, &listeners)
	if err != nil {
		return nil, err
	}
	i, err := instance.New(settings, listeners, logger)
	if err != nil {
		return nil, err
	}
	n := &node{instance: i, settings: settings, site: s}
	if err := n.list(standin.InstanceLive); err != nil {
		return nil, err
	}
	i.Start(ctx)
	return n, nil
}

func openListeners() (instance.Listeners, error) {
	var l instance.Listeners
	for _, to := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		opened, err := net.Listen("tcp", loopback().String())
		if err != nil {
			return l, err
		}
		*to = opened
	}
	return l, nil
}

func newSettings(s *site, grace time.Duration, keys secrets, l *instance.Listeners) (*instance.Settings, error) {
	var text strings.Builder
	err := settingsText.Execute(&text, struct {
		DataCentre                string
		Callers, Operators, Peers net.Addr
		Secrets                   secrets
		Grace                     time.Duration
		Log, Roster               netip.AddrPort
	}{dataCentre, l.Callers.Addr(), l.Operators.Addr(), l.Peers.Addr(), keys, grace, s.logAt, s.rosterAt})
	if err != nil {
		return nil, err
	}
	return instance.ParseSettings("demo.ini", []byte(text.String()))
}

// list puts the instance on the platform's list.
func (n *node) list(state standin.InstanceState) error {
	return n.site.roster.Put(standin.Instance{
		Address: n.settings.Peers, Kind: standin.KindInstance, DataCentre: dataCentre, State: state,
	})
}

// drain stops the instance as planned: it finishes what is in progress.
func (n *node) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	n.stopped.Store(true)
	if err := n.list(standin.InstanceLeaving); err != nil {
		return err
	}
	err := n.instance.Drain(ctx)
	n.instance.Close()
	n.site.roster.Delete(n.settings.Peers)
	return err
}

// kill ends the instance without notice.
func (n *node) kill() {
	n.stopped.Store(true)
	n.instance.Close()
	n.site.roster.Delete(n.settings.Peers)
}

func (n *node) callers() string {
	return "http://" + n.settings.Callers.String()
}

func (n *node) operators() string {
	return "http://" + n.settings.Operators.String()
}

// status asks the instance how it is, as an operator would.
func (n *node) status(ctx context.Context) (*operator.Status, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, n.operators()+"/status", nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	s := &operator.Status{}
	return s, json.NewDecoder(response.Body).Decode(s)
}

// errNotReady reports instances that did not become ready in time.
var errNotReady = errors.New("instances did not become ready")
