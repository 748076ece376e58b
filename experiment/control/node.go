package control

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"sync"
	"text/template"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/instance"
	"dogwooddyke/standin"
)

// node is one instance, its place on the platform's list and what was seen of its catalogue.
type node struct {
	name      string
	instance  *instance.Instance
	settings  *instance.Settings
	site      *site
	startedAt time.Time
	watch     watch
	watching  conc.WaitGroup
	stop      context.CancelFunc

	mutex sync.Mutex // guards ended; taken before nothing else
	ended time.Time  // when its death or drain began; zero: it lives
}

var settingsText = template.Must(template.New("settings").Parse(`
[instance]
dataCentre = {{.DataCentre}}
callers = {{.Callers}}
operators = {{.Operators}}
peers = {{.Peers}}
[peers]
key = {{.Key}}
[answers]
key = {{.Key}}
[platform]
log = http://{{.Log}}
roster = http://{{.Roster}}
`))

func newKey() string {
	var key [24]byte
	_, _ = rand.Read(key[:])
	return hex.EncodeToString(key[:])
}

// startNode starts an instance on ports that the system picks, lists it and watches it.
func startNode(ctx context.Context, s *site, name, dataCentre, key string, logger *slog.Logger) (*node, error) {
	var listeners instance.Listeners
	for _, to := range []*net.Listener{&listeners.Callers, &listeners.Operators, &listeners.Peers} {
		opened, err := net.Listen("tcp", loopback().String())
		if err != nil {
			return nil, err
		}
		*to = opened
	}
	var text strings.Builder
	if err := settingsText.Execute(&text, struct {
		DataCentre, Key           string
		Callers, Operators, Peers net.Addr
		Log, Roster               netip.AddrPort
	}{dataCentre, key, listeners.Callers.Addr(), listeners.Operators.Addr(), listeners.Peers.Addr(), s.Log, s.Roster}); err != nil {
		return nil, err
	}
	settings, err := instance.ParseSettings(name, []byte(text.String()))
	if err != nil {
		return nil, err
	}
	i, err := instance.New(settings, listeners, logger)
	if err != nil {
		return nil, err
	}
	n := &node{name: name, instance: i, settings: settings, site: s, startedAt: time.Now()}
	if err := n.list(standin.InstanceLive); err != nil {
		return nil, err
	}
	i.Start(ctx)
	ctx, n.stop = context.WithCancel(ctx)
	n.watching.Go(func() { n.watch.run(ctx, i) })
	return n, nil
}

// list puts the instance on the platform's list.
func (n *node) list(state standin.InstanceState) error {
	return n.site.list.Put(standin.Instance{
		Address: n.settings.Peers, Kind: standin.KindInstance, DataCentre: n.settings.DataCentre, State: state,
	})
}

// kill ends the instance without notice; the platform still lists it.
func (n *node) kill() {
	n.end()
	n.instance.Close()
}

// drain ends the instance as planned.
func (n *node) drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	n.end()
	if err := n.list(standin.InstanceLeaving); err != nil {
		return err
	}
	err := n.instance.Drain(ctx)
	n.instance.Close()
	n.unlist()
	return err
}

func (n *node) unlist() {
	n.site.list.Delete(n.settings.Peers)
}

// end stops the watch, once.
func (n *node) end() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if !n.ended.IsZero() {
		return
	}
	n.ended = time.Now()
	n.endWatch()
}

// endWatch ends the watch; the instance goes on.
func (n *node) endWatch() {
	n.stop()
	n.watching.Wait()
}

// endedAt returns when the instance's death or drain began, or a zero time.
func (n *node) endedAt() time.Time {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.ended
}
