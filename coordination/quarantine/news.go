package quarantine

import (
	"errors"
	"fmt"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// News is what an instance reports to others about crashes and answers. Clocks of instances differ, so it holds ages, not times.
type News struct {
	Crashes []CrashNotice  `cbor:"1,keyasint,omitempty"`
	Answers []AnswerNotice `cbor:"2,keyasint,omitempty"`
	Answer  bool           `cbor:"3,keyasint,omitempty"` // the sender answers a comparison: these are all news that it has

	Starting bool `cbor:"4,keyasint,omitempty"` // the sender, which answers a comparison, has just started too
}

// CrashNotice is an endpoint's crash under requests that it had not answered completely.
type CrashNotice struct {
	Endpoint netip.AddrPort  `cbor:"1,keyasint"`
	Start    uint64          `cbor:"2,keyasint"`
	Age      time.Duration   `cbor:"3,keyasint,omitempty"`
	Prompts  [][]prompt.Part `cbor:"4,keyasint"`           // parts of the requests
	Tried    []prompt.Part   `cbor:"5,keyasint,omitempty"` // those on trial
}

// AnswerNotice is the latest answer on a part.
type AnswerNotice struct {
	Part prompt.Part   `cbor:"1,keyasint"`
	Age  time.Duration `cbor:"2,keyasint,omitempty"`
}

// IsEmpty reports whether there are no news, as in a nil pointer.
func (n *News) IsEmpty() bool { return n == nil || len(n.Crashes) == 0 && len(n.Answers) == 0 }

// Check returns an error that names the first field whose value is out of range.
func (n *News) Check() error {
	if n == nil {
		return nil
	}
	if len(n.Crashes) > maximumNews || len(n.Answers) > maximumNews {
		return fmt.Errorf("news: more than %d crashes or answers: %d, %d", maximumNews, len(n.Crashes), len(n.Answers))
	}
	for _, c := range n.Crashes {
		if err := c.check(); err != nil {
			return err
		}
	}
	for _, a := range n.Answers {
		if a.Age < 0 {
			return fmt.Errorf("answer on part %s: age is negative: %s", a.Part, a.Age)
		}
	}
	return nil
}

func (c *CrashNotice) check() error {
	switch {
	case !c.Endpoint.IsValid():
		return errors.New("crash: endpoint has no valid address")
	case c.Age < 0:
		return fmt.Errorf("crash of %s: age is negative: %s", c.Endpoint, c.Age)
	case len(c.Tried) > maximumPromptsOf:
		return fmt.Errorf("crash of %s: more than %d parts on trial: %d", c.Endpoint, maximumPromptsOf, len(c.Tried))
	case len(c.Prompts) > maximumPromptsOf:
		return fmt.Errorf("crash of %s: more than %d requests: %d", c.Endpoint, maximumPromptsOf, len(c.Prompts))
	}
	for _, parts := range c.Prompts {
		if len(parts) > maximumParts {
			return fmt.Errorf("crash of %s: request has more than %d parts: %d", c.Endpoint, maximumParts, len(parts))
		}
	}
	return nil
}

// crashNotice returns the notice of a crash.
func crashNotice(t *suspicion.Table, c *suspicion.Crash, now time.Time) CrashNotice {
	requests := t.Requests(c, maximumCrashParts)
	requests = requests[:min(len(requests), maximumPromptsOf)]
	return CrashNotice{Endpoint: c.Process.Address, Start: c.Process.Start, Age: max(now.Sub(c.At), 0), Prompts: requests, Tried: c.Tried[:min(len(c.Tried), maximumPromptsOf)]}
}

// partCount returns the number of parts in all requests of the crash.
func (c *CrashNotice) partCount() int {
	count := 0
	for _, parts := range c.Prompts {
		count += len(parts)
	}
	return count
}

// crash returns the crash of a notice that is received now.
func (c *CrashNotice) crash(now time.Time) suspicion.Crash {
	return suspicion.Crash{Process: process.ID{Address: c.Endpoint, Start: c.Start}, At: now.Add(-c.Age), Prompts: c.Prompts, Tried: c.Tried}
}
