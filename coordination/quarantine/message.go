package quarantine

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/state/prompt"
)

// Ask is a message from an instance to the steward: may a request with these parts be sent? With Ended set, it says instead that the
// request has ended.
type Ask struct {
	From       netip.AddrPort `cbor:"1,keyasint"`
	Number     uint64         `cbor:"2,keyasint"` // of the ask; a repeated ask has the same
	Parts      []prompt.Part  `cbor:"3,keyasint,omitempty"`
	Implicated bool           `cbor:"4,keyasint,omitempty"` // the request was at an endpoint that crashed
	Ended      bool           `cbor:"5,keyasint,omitempty"`
	Failed     bool           `cbor:"7,keyasint,omitempty"` // an endpoint has crashed under the request that has ended
	News       News           `cbor:"6,keyasint"`           // what the instance knows of the parts
}

// Grant is the steward's answer to an ask.
type Grant struct {
	Number     uint64        `cbor:"1,keyasint"`
	Verdict    Verdict       `cbor:"2,keyasint"`
	Part       prompt.Part   `cbor:"3,keyasint,omitempty"`
	RetryAfter time.Duration `cbor:"4,keyasint,omitempty"`
	News       News          `cbor:"5,keyasint"` // what the steward knows of the parts
}

// Comparison is a message from an instance to any other one, which answers with its news if it knows something else.
type Comparison struct {
	From   netip.AddrPort `cbor:"1,keyasint"`
	Digest uint64         `cbor:"2,keyasint"` // of what the instance knows

	Starting bool `cbor:"3,keyasint,omitempty"` // the instance waits for an answer in any case
}

// Check returns an error that names the first field whose value is out of range.
func (a *Ask) Check() error {
	switch {
	case !a.From.IsValid():
		return errors.New("ask for a trial: sender has no valid address")
	case len(a.Parts) > maximumParts:
		return fmt.Errorf("ask for a trial from %s: more than %d parts: %d", a.From, maximumParts, len(a.Parts))
	}
	return a.News.Check()
}

// Check returns an error that names the first field whose value is out of range.
func (g *Grant) Check() error {
	switch {
	case g.Verdict < VerdictSound || g.Verdict > VerdictRefused:
		return fmt.Errorf("answer to an ask for a trial: verdict is unknown: %d", g.Verdict)
	case g.RetryAfter < 0:
		return fmt.Errorf("answer to an ask for a trial: retryAfter is negative: %s", g.RetryAfter)
	}
	return g.News.Check()
}

// Check returns an error that names the first field whose value is out of range.
func (c *Comparison) Check() error {
	if !c.From.IsValid() {
		return errors.New("comparison: sender has no valid address")
	}
	return nil
}
