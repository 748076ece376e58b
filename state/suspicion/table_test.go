package suspicion

import (
	"encoding/binary"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/process"
	"dogwooddyke/state/prompt"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// after returns a time some milliseconds after the start.
func after(milliseconds int) time.Time {
	return start.Add(time.Duration(milliseconds) * time.Millisecond)
}

// crashes is a table with the number of the next process that crashes.
type crashes struct {
	*Table
	number uint32
}

func newCrashes() *crashes { return &crashes{Table: NewTable()} }

// add adds a crash of another process under requests with these prompts.
func (c *crashes) add(milliseconds int, prompts ...[]prompt.Part) {
	c.number++
	ip := [4]byte{10}
	binary.BigEndian.PutUint32(ip[:], 10<<24+c.number)
	c.AddCrash(Crash{Process: process.ID{Address: netip.AddrPortFrom(netip.AddrFrom4(ip), 80)}, At: after(milliseconds), Prompts: prompts})
}

// answer records an answer on each part of a prompt.
func (c *crashes) answer(milliseconds int, parts ...prompt.Part) {
	for _, p := range parts {
		c.AddAnswer(p, after(milliseconds))
	}
}

const (
	shared prompt.Part = iota + 1 // by all requests of a caller
	fatal
	session
	other
)

func parts(p ...prompt.Part) []prompt.Part { return p }

func TestSuspects(t *testing.T) {
	t.Run("the part that is in all crashes, not those that it is used with", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.answer(0, shared)
		for n := range 3 {
			c.add(1000*(n+1), parts(shared, fatal, prompt.Part(100+n)))
		}
		is.Equal(c.Suspects(after(4000)), map[prompt.Part]Suspect{fatal: {Crashes: 3, Latest: after(3000)}})
	})
	t.Run("not the parts of requests that were at the same endpoints", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.add(0, parts(shared, fatal), parts(shared, session))
		c.add(1000, parts(shared, session), parts(shared, fatal))
		c.add(2000, parts(shared, fatal))
		suspects := c.Suspects(after(4000))
		is.Equal(suspects[fatal].Crashes, 3)
		is.Equal(suspects[session].Crashes, 0)
		is.Equal(suspects[shared].Crashes, 0)
	})
	t.Run("no part that has been answered on since", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.add(0, parts(shared, session))
		c.add(1000, parts(shared, session))
		is.Equal(c.Suspects(after(2000))[session].Crashes, 2)
		c.answer(2000, shared, session)
		is.Equal(len(c.Suspects(after(2000))), 0)
		c.add(3000, parts(shared, session))
		is.Equal(c.Suspects(after(3000))[session].Crashes, 0) // one more, of a part that was sound until then
	})
	t.Run("endpoints that fail together count once", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		for n := range 5 {
			c.add(n, parts(shared, session), parts(shared, other))
		}
		is.Equal(len(c.Suspects(after(1000))), 0)
		is.Equal(c.Blamed(session, after(1000)), 1)
	})
	t.Run("a part that was sound until then needs more crashes", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.answer(0, shared)
		for n := range 3 {
			c.add(1000*(n+1), parts(shared))
		}
		is.Equal(c.Suspects(after(5000))[shared].Crashes, 1)
		c.add(4000, parts(shared))
		is.Equal(c.Suspects(after(5000))[shared].Crashes, 2)
	})
	t.Run("an answer from before a crash that arrives late clears nothing", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.add(1000, parts(fatal))
		c.add(2000, parts(fatal))
		c.answer(500, fatal)
		is.Equal(c.Blamed(fatal, after(2000)), 2)
	})
	t.Run("a crash that several instances report counts once", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		crash := Crash{At: after(0), Prompts: [][]prompt.Part{parts(fatal)}}
		is.True(c.AddCrash(crash))
		crash.At = after(900)
		is.True(!c.AddCrash(crash))
		crash.Prompts = [][]prompt.Part{parts(session)}
		is.True(c.AddCrash(crash))
		is.Equal(c.Blamed(fatal, after(1000)), 1)
	})
}

func TestIsUnexplained(t *testing.T) {
	is := is.New(t)
	c := newCrashes()
	c.add(0, parts(fatal), parts(session))
	is.True(c.IsUnexplained(session, after(0)))
	c.add(1000, parts(fatal))
	is.True(!c.IsUnexplained(session, after(1000)))
	is.True(c.IsUnexplained(fatal, after(1000)))
}

func TestCrashesAreForgotten(t *testing.T) {
	t.Run("cleared ones after a while, others later", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.add(0, parts(shared))
		c.add(1, parts(fatal))
		c.answer(10, shared)
		is.Equal(len(c.Crashes(after(100))), 2)
		is.Equal(len(c.Crashes(start.Add(2*clearedLifetime))), 1)
		is.Equal(len(c.Crashes(start.Add(2*crashLifetime))), 0)
		is.Equal(len(c.Suspects(start.Add(2*crashLifetime))), 0)
	})
	t.Run("the oldest if there are too many", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		for n := range maximumCrashes + 10 {
			c.add(n, parts(prompt.Part(n)))
		}
		found := c.Crashes(after(1000))
		is.Equal(len(found), maximumCrashes)
		is.Equal(found[0].At, after(maximumCrashes+9))
	})
	t.Run("answers on parts that no crash names, if there are too many", func(t *testing.T) {
		is := is.New(t)
		c := newCrashes()
		c.add(0, parts(shared))
		c.answer(1, shared)
		for n := range maximumAnswers {
			c.answer(2, prompt.Part(1000+n))
		}
		is.Equal(len(c.answers), maximumAnswers)
		c.AddAnswer(fatal, start.Add(2*answerLifetime))
		is.Equal(len(c.answers), 2)
		is.Equal(c.AnsweredAt(shared), after(1))
	})
}
