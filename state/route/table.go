package route

import (
	"maps"
	"strings"
	"time"
)

// Kind says what of a route's requests may be repeated.
type Kind int

// The kinds of route.
const (
	KindOnce   Kind = iota // at most one run for each request
	KindRepeat             // idempotent: more than one run does no harm
	KindStream             // a generation whose events are passed on as they come
)

// String names the kind; it is a metrics label.
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

// Split sends a part of a route's requests to a service.
type Split struct {
	Service string
	Weight  int // relative to the other splits of the route
}

// Route is one path of one host with the service behind it.
type Route struct {
	Name      string
	Host      string
	Prefix    string // begins and ends with a slash
	Kind      Kind
	Splits    []Split
	Timeout   time.Duration // of the whole request, as its operator wants
	Target    time.Duration // within which an answer, or the first event of a stream, is on time
	Gap       time.Duration // between events of a stream; longer pauses make it late
	Priority  int           // 0 is served first
	Attempts  int           // endpoints that one request may be sent to
	Anonymous bool          // needs no key
	Sessions  bool          // its requests describe their prompts
	Resumable bool          // a stream goes on after the last event that its reader has
}

// Repeatable tells whether a request of the route may run again after it may have run.
func (r *Route) Repeatable() bool {
	return r.Kind == KindRepeat || r.Kind == KindStream && r.Resumable
}

// Engine describes a service's model engines.
type Engine struct {
	Slots      int // requests that one of them runs at once
	Memory     int // tokens that one of them holds
	Stride     int // tokens in an event of a stream
	TokenBytes int // bytes of memory for a token
	LinkBits   float64
	Moves      bool // runs can be moved between engines
	Backups    bool // a run's memory can be copied to another engine as it grows
}

// Service is what endpoints of one kind offer.
type Service struct {
	Name        string
	HealthPath  string
	Connections int     // that one endpoint accepts from all instances
	Engine      *Engine // nil for a plain service
}

// Workspace is the holder of keys.
type Workspace struct {
	Name           string
	Priority       int
	OverridesRoute bool // the priority goes before that of the route
}

// Limits bounds what callers may send and for how long they may stay idle.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Table is one version of all routes, services and keys; it is never changed once built.
type Table struct {
	Version     int64
	Limits      Limits
	Services    map[string]*Service
	KeyRequired bool // requests need a key of a workspace
	routes      map[place]*Route
	keys        map[string]*Workspace
}

type place struct {
	host, prefix string
}

// NewTable returns a table of the routes; keys names the workspace that holds each key.
func NewTable(version int64, routes []*Route, services map[string]*Service, keys map[string]*Workspace) *Table {
	t := &Table{Version: version, Services: services, routes: make(map[place]*Route, len(routes)), keys: maps.Clone(keys)}
	for _, r := range routes {
		t.routes[place{strings.ToLower(r.Host), r.Prefix}] = r
	}
	return t
}

// Routes counts the routes.
func (t *Table) Routes() int { return len(t.routes) }

// Match returns the route of the host with the longest prefix that begins the path; nil if there is none.
func (t *Table) Match(host, path string) *Route {
	host = strings.ToLower(host)
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:colon]
	}
	for end := strings.LastIndexByte(path, '/'); end >= 0; end = strings.LastIndexByte(path[:end], '/') {
		if r := t.routes[place{host, path[:end+1]}]; r != nil {
			return r
		}
	}
	return nil
}

// WorkspaceByKey returns the workspace that holds the key; nil if none does.
func (t *Table) WorkspaceByKey(key string) *Workspace { return t.keys[key] }

// Pick returns the service for a request, by a number that is even over 0 to 1.
func (r *Route) Pick(even float64) string {
	total := 0
	for _, s := range r.Splits {
		total += s.Weight
	}
	left := even * float64(total)
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
