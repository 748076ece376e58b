package standin

import (
	"time"

	"dogwooddyke/standin/model"
)

// generation is one generation of an engine, with what its streams need; the engine's mutex guards it.
type generation struct {
	model   model.Generation
	chat    bool
	usage   bool
	capped  bool // by max_tokens
	name    string
	text    Text
	prompt  string
	created time.Time
	emitted int
	ended   time.Time // when the last token was emitted; zero before
	gone    gone
	readers map[*reader]struct{}
	perturb map[FaultKind]int // events still to be changed
}

// gone tells how a generation ended without its last token.
type gone uint8

const (
	goneNot gone = iota
	goneCancelled
	goneLost // with the engine's state
)

// reader is one open stream of a generation; wake has room for one.
type reader struct{ wake chan struct{} }

func (g *generation) wake() {
	for r := range g.readers {
		select {
		case r.wake <- struct{}{}:
		default:
		}
	}
}

func (g *generation) finishReason() string {
	if g.capped {
		return "length"
	}
	return "stop"
}

// expired reports whether the retention after the end is over.
func (g *generation) expired(now time.Time, retention time.Duration) bool {
	return !g.ended.IsZero() && now.Sub(g.ended) > retention
}
