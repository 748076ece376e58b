package member

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"log/slog"
	"net"
	"net/netip"
	"strings"
	"text/template"
	"time"

	"dogwooddyke/instance"
	"dogwooddyke/standin"
)

// drainTimeout bounds a planned end.
const drainTimeout = 3 * time.Minute

// List is the platform's own side of its list of instances.
type List interface {
	Put(row standin.Instance) error
	Delete(address netip.AddrPort)
}

// Keys are the secrets that the instances of one fleet share.
type Keys struct {
	Peers   string
	Answers string
}

// Config says what an instance meets.
type Config struct {
	Name       string // of its settings, in errors
	DataCentre string
	Grace      time.Duration // of answers; zero: the default
	Keys       Keys
	Log        netip.AddrPort
	Roster     netip.AddrPort
	List       List
	Logger     *slog.Logger
}

// Member is one instance and its place on the platform's list.
type Member struct {
	Instance *instance.Instance
	Settings *instance.Settings
	list     List
}

var settingsText = template.Must(template.New("settings").Parse(`
[instance]
dataCentre = {{.DataCentre}}
callers = {{.Callers}}
operators = {{.Operators}}
peers = {{.Peers}}
[peers]
key = {{.Keys.Peers}}
[answers]
key = {{.Keys.Answers}}
{{if .Grace}}grace = {{.Grace}}{{end}}
[platform]
log = http://{{.Log}}
roster = http://{{.Roster}}
`))

// NewKeys draws secrets.
func NewKeys() Keys { return Keys{Peers: randomKey(), Answers: randomKey()} }

func randomKey() string {
	var key [24]byte
	_, _ = rand.Read(key[:])
	return hex.EncodeToString(key[:])
}

// Loopback is any free port of the loopback address.
func Loopback() netip.AddrPort { return netip.MustParseAddrPort("127.0.0.1:0") }

// Start runs an instance on ports that the system picks, and lists it.
func Start(ctx context.Context, c Config) (*Member, error) {
	var l instance.Listeners
	for _, to := range []*net.Listener{&l.Callers, &l.Operators, &l.Peers} {
		opened, err := net.Listen("tcp", Loopback().String())
		if err != nil {
			return nil, err
		}
		*to = opened
	}
	settings, err := c.settings(&l)
	if err != nil {
		return nil, err
	}
	i, err := instance.New(settings, l, c.Logger)
	if err != nil {
		return nil, err
	}
	m := &Member{Instance: i, Settings: settings, list: c.List}
	if err := m.put(standin.InstanceLive); err != nil {
		return nil, err
	}
	i.Start(ctx)
	return m, nil
}

func (c *Config) settings(l *instance.Listeners) (*instance.Settings, error) {
	var text strings.Builder
	err := settingsText.Execute(&text, struct {
		*Config
		Callers, Operators, Peers net.Addr
	}{c, l.Callers.Addr(), l.Operators.Addr(), l.Peers.Addr()})
	if err != nil {
		return nil, err
	}
	return instance.ParseSettings(c.Name, []byte(text.String()))
}

func (m *Member) put(state standin.InstanceState) error {
	return m.list.Put(standin.Instance{Address: m.Settings.Peers, Kind: standin.KindInstance, DataCentre: m.Settings.DataCentre, State: state})
}

// Drain ends the instance as planned: it is listed as leaving, finishes what is in progress and is taken off the list.
func (m *Member) Drain(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	if err := m.put(standin.InstanceLeaving); err != nil {
		return err
	}
	err := m.Instance.Drain(ctx)
	m.Instance.Close()
	m.Unlist()
	return err
}

// Kill ends the instance without notice; the platform still lists it.
func (m *Member) Kill() { m.Instance.Close() }

// Unlist takes the instance off the list.
func (m *Member) Unlist() { m.list.Delete(m.Settings.Peers) }
