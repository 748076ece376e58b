package soak

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// fakeRuns has the same answers for each request.
type fakeRuns struct {
	ran    int
	spoilt bool
}

func (f fakeRuns) Ran(string) int { return f.ran }

func (f fakeRuns) Spoilt(string) bool { return f.spoilt }

func TestJudge(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	request := func(route string, o outcome) record {
		return record{id: "r", route: route, instance: 1, began: at(10), ended: at(12), outcome: o}
	}
	fault := func(k kind, target int) trouble {
		return trouble{step: step{kind: k, target: target}, began: at(11), ended: at(12)}
	}
	for name, c := range map[string]struct {
		record  record
		ran     int
		trouble []trouble
		broken  string // empty: none
	}{
		"served":                        {request(routeWrite, outcomeServed), 1, nil, ""},
		"refused and not run":           {request(routeWrite, outcomeRefused), 0, nil, ""},
		"refused and run":               {request(routeWrite, outcomeRefused), 1, nil, "said not to have run"},
		"run twice":                     {request(routeLong, outcomeServed), 2, nil, "run twice"},
		"repeatable run twice":          {request(routeRead, outcomeServed), 2, nil, ""},
		"wrong":                         {request(routeRead, outcomeWrong), 1, nil, "wrong answer"},
		"broken without a cause":        {request(routeLong, outcomeBroken), 1, nil, "not answered"},
		"broken and never run":          {request(routeLong, outcomeBroken), 0, nil, ""},
		"its instance killed":           {request(routeLong, outcomeBroken), 1, []trouble{fault(kindKill, 1)}, ""},
		"another instance killed":       {request(routeLong, outcomeBroken), 1, []trouble{fault(kindKill, 2)}, "not answered"},
		"its instance asked to end":     {request(routeLong, outcomeBroken), 1, []trouble{fault(kindStop, 1)}, "not answered"},
		"engine reclaimed":              {request(routeLong, outcomeBroken), 1, []trouble{fault(kindReclaim, 0)}, "not answered"},
		"engine crashed":                {request(routeLong, outcomeBroken), 1, []trouble{fault(kindCrash, 0)}, ""},
		"log away":                      {request(routeWrite, outcomeUnknown), 1, []trouble{fault(kindLogDown, 0)}, "not answered"},
		"killed, and run twice for all": {request(routeWrite, outcomeBroken), 2, []trouble{fault(kindKill, 1)}, "run twice"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &ledger{records: []record{c.record}, troubles: c.trouble}
			broken := l.judge(3, fakeRuns{ran: c.ran})
			if c.broken == "" {
				is.Equal(broken, nil)
				return
			}
			is.Equal(len(broken), 1)
			is.True(strings.HasPrefix(broken[0], c.broken))
		})
	}
}

// A spoilt answer excuses that there is none, and nothing else.
func TestJudgeSpoiltAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		outcome outcome
		ran     int
		broken  int
	}{
		"unknown":         {outcomeUnknown, 1, 0},
		"broken":          {outcomeBroken, 1, 0},
		"refused and run": {outcomeRefused, 1, 1},
		"wrong":           {outcomeWrong, 1, 1},
		"run twice":       {outcomeUnknown, 2, 1},
	} {
		t.Run(name, func(t *testing.T) {
			l := &ledger{records: []record{{id: "r", route: routeWrite, outcome: c.outcome}}}
			is.New(t).Equal(len(l.judge(3, fakeRuns{ran: c.ran, spoilt: true})), c.broken)
		})
	}
}

func TestPlan(t *testing.T) {
	t.Run("same seed, same faults", func(t *testing.T) {
		is := is.New(t)
		is.Equal(plan(7, time.Minute, &Without{}), plan(7, time.Minute, &Without{}))
	})
	t.Run("all kinds, within the time", func(t *testing.T) {
		is := is.New(t)
		seen := map[kind]bool{}
		for _, s := range plan(1, 2*time.Minute, &Without{}) {
			seen[s.kind] = true
			is.True(s.at >= quietLead && s.at < 2*time.Minute-quietTail)
			is.True(s.mode > modePass && s.mode <= modeOneWay)
		}
		is.Equal(len(seen), len(shares)+9)
	})
}

func TestReadEvents(t *testing.T) {
	for name, c := range map[string]struct {
		body string
		want outcome
	}{
		"whole":   {"id: 1\ndata: r-1\n\nid: 2\ndata: r-2\n\n", outcomeServed},
		"twice":   {"data: r-1\n\ndata: r-1\n\n", outcomeWrong},
		"missing": {"data: r-2\n\n", outcomeWrong},
		"short":   {"data: r-1\n\n", outcomeWrong},
		"other's": {"data: q-1\n\ndata: q-2\n\n", outcomeWrong},
	} {
		t.Run(name, func(t *testing.T) {
			got, _ := readEvents(strings.NewReader(c.body), "r", 2)
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestJudgeLimits(t *testing.T) {
	began := time.Unix(1000, 0)
	seen := func(id string, at time.Time) standin.Seen {
		return standin.Seen{Header: http.Header{standin.HeaderRequest: {id}}, At: at}
	}
	// limited returns how many requests count that come together at a time.
	limited := func(requests int, at time.Time, first []standin.Seen, troubles ...trouble) int {
		l := &ledger{troubles: troubles}
		all := first
		for n := range requests {
			id := fmt.Sprint("r-", n)
			all = append(all, seen(id, at.Add(time.Duration(n)*time.Millisecond)))
			l.records = append(l.records, record{id: id, instance: 1})
		}
		return mostWithin(l.counted(&limitation{perSecond: 1, began: began}, all, l.instances(), 3), limitWindow)
	}
	named := []standin.Seen{seen("first", began.Add(time.Millisecond))}
	later := began.Add(limitLearning + time.Second)
	t.Run("all count once the limit is known", func(t *testing.T) {
		is.New(t).Equal(limited(12, later, named), 12)
	})
	t.Run("none while instances learn of it", func(t *testing.T) {
		is.New(t).Equal(limited(12, began.Add(limitLearning/2), named), 0)
	})
	t.Run("none before any answer has named the limit", func(t *testing.T) {
		is.New(t).Equal(limited(12, later, nil), 0)
	})
	t.Run("none of an instance that stood still", func(t *testing.T) {
		frozen := trouble{step: step{kind: kindFreeze, target: 4}, began: began, ended: later.Add(time.Second)}
		is.New(t).Equal(limited(12, later, named, frozen), 0)
	})
	t.Run("all beside another instance that stood still", func(t *testing.T) {
		frozen := trouble{step: step{kind: kindFreeze, target: 2}, began: began, ended: later.Add(time.Second)}
		is.New(t).Equal(limited(12, later, named, frozen), 12)
	})
	t.Run("eleven are allowed at one a second", func(t *testing.T) {
		is.New(t).Equal((&limitation{perSecond: 1}).allowed(), 11)
	})
}

// A stream that breaks off within a line is broken and not wrong; one that ends as whole there is wrong.
func TestReadEventsBrokenLine(t *testing.T) {
	is := is.New(t)
	text := "data: r-1\n\ndata: r"
	got, why := readEvents(io.MultiReader(strings.NewReader(text), iotest.ErrReader(io.ErrUnexpectedEOF)), "r", 2)
	is.Equal(got, outcomeBroken)
	is.Equal(why, "after 1 of 2 events: unexpected EOF")
	got, _ = readEvents(strings.NewReader(text), "r", 2)
	is.Equal(got, outcomeWrong)
}
