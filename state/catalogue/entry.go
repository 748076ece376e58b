package catalogue

import (
	"net/netip"
	"time"
)

// Kind tells model engines from plain services.
type Kind string

// The kinds of entry.
const (
	KindEngine  Kind = "engine"
	KindService Kind = "service"
)

// KeyRule says what an entry of kind service asks of the Idempotency-Key header.
type KeyRule string

// The key rules: calls that may be repeated freely, calls that take a key, and calls that must have one.
const (
	KeyRuleIdempotent KeyRule = "idempotent"
	KeyRuleOptional   KeyRule = "optional"
	KeyRuleRequired   KeyRule = "required"
)

// Endpoint is one address that serves an entry, and the data centre it stands in.
type Endpoint struct {
	Address    netip.AddrPort `cbor:"address" json:"address"`
	DataCentre string         `cbor:"dataCentre" json:"dataCentre"`
	Role       string         `cbor:"role,omitempty" json:"role,omitempty"` // sent with orders; empty: the engine's own
	Leaving    bool           `cbor:"leaving,omitempty" json:"leaving,omitempty"`
}

// Limits bounds what one workspace may ask for; zero means no limit.
type Limits struct {
	Concurrency       int `cbor:"concurrency,omitempty" json:"concurrency,omitempty"`             // requests in progress
	RequestsPerSecond int `cbor:"requestsPerSecond,omitempty" json:"requestsPerSecond,omitempty"` // admissions
	TokensPerSecond   int `cbor:"tokensPerSecond,omitempty" json:"tokensPerSecond,omitempty"`     // generated tokens
}

// Entry is one service that callers may reach, under the name that they give as model or path.
type Entry struct {
	Name          string        `cbor:"name" json:"name"`
	Owner         string        `cbor:"owner" json:"owner"`
	Kind          Kind          `cbor:"kind" json:"kind"`
	Class         string        `cbor:"class" json:"class"`       // label of metrics and length statistics
	Priority      int           `cbor:"priority" json:"priority"` // 0 is served first
	Endpoints     []Endpoint    `cbor:"endpoints" json:"endpoints"`
	Workspaces    []string      `cbor:"workspaces,omitempty" json:"workspaces,omitempty"` // empty: all workspaces
	Limits        Limits        `cbor:"limits" json:"limits"`                             // of each workspace on this entry
	Model         string        `cbor:"model,omitempty" json:"model,omitempty"`
	Version       string        `cbor:"version,omitempty" json:"version,omitempty"`
	Adapters      []string      `cbor:"adapters,omitempty" json:"adapters,omitempty"`
	Repeatable    bool          `cbor:"repeatable,omitempty" json:"repeatable,omitempty"`     // same seed and parameters give the same tokens
	ChecksFence   bool          `cbor:"checksFence,omitempty" json:"checksFence,omitempty"`   // engines refuse orders with an old fencing number
	MinimumReady  int           `cbor:"minimumReady,omitempty" json:"minimumReady,omitempty"` // engines kept ready during a rolling change
	KeyRule       KeyRule       `cbor:"keyRule,omitempty" json:"keyRule,omitempty"`
	QueueTimeout  time.Duration `cbor:"queueTimeout,omitempty" json:"queueTimeout,omitempty"`   // limit on waiting before dispatch
	AnswerTimeout time.Duration `cbor:"answerTimeout,omitempty" json:"answerTimeout,omitempty"` // limit on the whole answer
	MaximumTokens int           `cbor:"maximumTokens,omitempty" json:"maximumTokens,omitempty"` // limit on output; zero: the engine's own
}

// Workspace is one party that calls: the SHA-256 hashes (hex) of its keys and its limits over all entries.
type Workspace struct {
	Name      string   `cbor:"name" json:"name"`
	Owner     string   `cbor:"owner" json:"owner"`
	KeyHashes []string `cbor:"keyHashes" json:"keyHashes"`
	Limits    Limits   `cbor:"limits" json:"limits"`
}
