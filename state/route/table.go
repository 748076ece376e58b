package route

import (
	"maps"
	"strings"
	"time"
)

// Kind is the kind of a route, which determines whether its requests may be repeated.
type Kind int

// The kinds of route.
const (
	KindOnce   Kind = iota // at most one run for each request
	KindRepeat             // idempotent requests: more than one run does no harm
	KindStream             // generations whose events are forwarded as they arrive
)

// String returns the name of the kind, which is the value of a metric label.
func (k Kind) String() string {
	switch k {
	case KindRepeat:
		return "repeatable"
	case KindStream:
		return "stream"
	default:
		return "once"
	}
}

// Split assigns a part of the requests of a route to a service.
type Split struct {
	Service string
	Weight  int // relative to the other splits of the route
}

// Route is one path prefix of one host with the services that handle its requests.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Splits    []Split
	Timeout   time.Duration // limit on the duration of a whole request, set by the operator
	Target    time.Duration // time within which an answer, or the first event of a stream, is on time
	Gap       time.Duration // longest pause between events with which a stream is still on time
	Priority  int           // 0 is served first
	Attempts  int           // number of endpoints that one request may be sent to
	Anonymous bool          // requests need no API key
	Sessions  bool          // requests describe their prompts
	Resumable bool          // a stream can be resumed after the last event that the caller received
}

// Repeatable reports whether a request of the route may be run again when an earlier attempt may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeat || r.Kind == KindStream && r.Resumable
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots      int     // requests that one engine runs at once
	Memory     int     // KV memory of one engine, in tokens
	Stride     int     // tokens in one event of a stream
	TokenBytes int     // KV memory of one token, in bytes
	LinkBits   float64 // bandwidth of the link between engines, in bits per second
	Moves      bool    // runs can be moved between engines
	Backups    bool    // the KV memory of a run can be copied to another engine as it grows
}

// Service describes what a set of equivalent endpoints offers.
type Service struct {
	Name        string
	HealthPath  string
	Connections int     // connections that one endpoint accepts from all instances together
	ColdRate    float64 // requests per second that an endpoint takes from all instances together while it is cold; zero: any number
	Engine      *Engine // nil for a plain service
}

// Workspace is a customer that holds API keys.
type Workspace struct {
	Name           string
	Priority       int  // 0 is served first
	OverridesRoute bool // the priority of the workspace takes precedence over that of the route
}

// Limits holds the limits on what callers may send and on how long their connections may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of all routes, services and API keys; it is immutable once built.
type Table struct {
	Version     int64
	Limits      Limits
	Services    map[string]*Service
	KeyRequired bool // requests need the API key of a workspace, except on anonymous routes
	routes      map[hostPrefix]*Route
	keys        map[string]*Workspace // workspaces by API key
}

// hostPrefix identifies a route.
type hostPrefix struct {
	host, prefix string
}

// NewTable returns a table of the routes; keys maps each API key to the workspace that holds it.
func NewTable(version int64, routes []*Route, services map[string]*Service, keys map[string]*Workspace) *Table {
	t := &Table{Version: version, Services: services, routes: make(map[hostPrefix]*Route, len(routes)), keys: maps.Clone(keys)}
	for _, r := range routes {
		t.routes[hostPrefix{strings.ToLower(r.Host), r.Prefix}] = r
	}
	return t
}

// Routes returns the number of routes.
func (t *Table) Routes() int { return len(t.routes) }

// Match returns the route of the host whose prefix is the longest that the path begins with, or nil if there is none; the case and the port
// of the host are ignored.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[hostPrefix{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds the API key; nil if none does.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.keys[key] }

// Pick returns the service for a request, chosen by weight; fraction is a random number, uniform from 0 to 1. It returns an empty string if
// the route has no services.
func (r *Route) Pick(fraction float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := fraction * float64(total)
	for _, s := range r.Splits {
		left -= float64(s.Weight)
		if left < 0 && s.Weight > 0 {
			return s.Service
		}
	}
	if len(r.Splits) == 0 {
		return ""
	}
	return r.Splits[len(r.Splits)-1].Service
}
