package catalogue

import (
	"net/netip"
	"time"
)

// Kind is the kind of an entry: a model engine or a plain service.
type Kind string

// The kinds of entries.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// KeyRule is how an entry of kind service treats the Idempotency-Key header.
type KeyRule string

// The key rules: calls are idempotent and need no key, calls may carry a key, and calls must carry a key.
const (
	KeyRuleIdempotent KeyRule = "idempotent"
	KeyRuleOptional   KeyRule = "optional"
	KeyRuleRequired   KeyRule = "required"
)

// Endpoint is an address that serves an entry, with its data centre and role.
type Endpoint struct {
	Address    netip.AddrPort `cbor:"address" json:"address"`
	DataCentre string         `cbor:"dataCentre" json:"dataCentre"`
	Role       string         `cbor:"role,omitempty" json:"role,omitempty"` // role sent with orders; empty if the engine keeps its own
	Leaving    bool           `cbor:"leaving,omitempty" json:"leaving,omitempty"`
	Version    string         `cbor:"-" json:"-"` // of its software, where the list of endpoints names it; empty: unknown
}

// Limits holds the limits on what a workspace may use; zero means no limit.
type Limits struct {
	Concurrency       int `cbor:"concurrency,omitempty" json:"concurrency,omitempty"`             // requests in progress at the same time
	RequestsPerSecond int `cbor:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"` // admitted requests per second
	TokensPerSecond   int `cbor:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`     // generated tokens per second
}

// Entry is a model or service in the catalogue; callers address it by its name, as the model or in the path.
type Entry struct {
	Name          string        `cbor:"name" json:"name"`
	Owner         string        `cbor:"owner" json:"owner"`
	Kind          Kind          `cbor:"kind" json:"kind"`
	Class         string        `cbor:"class" json:"class"`       // class label of metrics and of output length statistics
	Priority      int           `cbor:"priority" json:"priority"` // priority in the queue; 0 is served first
	Endpoints     []Endpoint    `cbor:"endpoints" json:"endpoints"`
	Workspaces    []string      `cbor:"workspaces,omitempty" json:"workspaces,omitempty"` // workspaces that may use the entry; empty if all may
	Limits        Limits        `cbor:"limits" json:"limits"`                             // limits of each workspace on this entry
	Model         string        `cbor:"model,omitempty" json:"model,omitempty"`
	Version       string        `cbor:"version,omitempty" json:"version,omitempty"`
	Adapters      []string      `cbor:"adapters,omitempty" json:"adapters,omitempty"`
	Repeatable    bool          `cbor:"repeatable,omitempty" json:"repeatable,omitempty"`     // the same seed and parameters produce the same tokens
	ChecksFence   bool          `cbor:"checksFence,omitempty" json:"checksFence,omitempty"`   // engines refuse orders with an outdated fencing number
	MinimumReady  int           `cbor:"minimumReady,omitempty" json:"minimumReady,omitempty"` // engines to keep ready during a rolling change
	KeyRule       KeyRule       `cbor:"keyRule,omitempty" json:"keyRule,omitempty"`
	QueueTimeout  time.Duration `cbor:"queueTimeout,omitempty" json:"queueTimeout,omitempty"`   // longest wait for dispatch
	AnswerTimeout time.Duration `cbor:"answerTimeout,omitempty" json:"answerTimeout,omitempty"` // longest time for the whole answer
	MaximumTokens int           `cbor:"maximumTokens,omitempty" json:"maximumTokens,omitempty"` // limit on output tokens; zero if the engine's own limit applies
}

// Workspace is a customer: the SHA-256 hashes (hex) of its API keys, and its limits over all entries together.
type Workspace struct {
	Name      string   `cbor:"name" json:"name"`
	Owner     string   `cbor:"owner" json:"owner"`
	KeyHashes []string `cbor:"keyHashes" json:"keyHashes"`
	Limits    Limits   `cbor:"limits" json:"limits"`
}
