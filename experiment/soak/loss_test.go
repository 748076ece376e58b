package soak

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

// Times are milliseconds after the SIGTERM of instance 1, whose grace period is 8 s.
func TestJudgeLosses(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	request := func(began, whole, ended int) record {
		return record{id: "r", route: routeLong, instance: 1, began: at(began), whole: at(whole), ended: at(ended), outcome: outcomeBroken}
	}
	work := func(from, until int, end standin.WorkEnd) standin.Work {
		return standin.Work{Engine: "e", From: at(from), Until: at(until), End: end}
	}
	unsent := request(100, 100, 8000)
	unsent.whole = time.Time{}
	denied := request(100, 100, 200)
	denied.outcome, denied.why = outcomeUnknown, "404 Not Found"
	turnedAway := denied
	turnedAway.outcome, turnedAway.why = outcomeRefused, "429 Too Many Requests"
	elsewhere := request(100, 100, 7600)
	elsewhere.instance = 2
	slow := request(-5000, -5000, 15000)
	slow.slow = true
	served := request(100, 100, 7600)
	served.outcome = outcomeServed
	for name, c := range map[string]struct {
		record record
		works  []standin.Work
		lost   string // what its line begins with; empty: not lost
		tells  string
	}{
		"served":                    {served, []standin.Work{work(100, 7600, standin.WorkWhole)}, "", ""},
		"its last byte never sent":  {unsent, nil, "", ""},
		"cut at once, not sent on":  {request(100, 100, 300), nil, "", ""},
		"cut later, not sent on":    {request(100, 100, 301), nil, "lost", "at a stop"},
		"cut at once, but sent on":  {request(100, 100, 150), []standin.Work{work(110, 150, standin.WorkLeft)}, "lost", "at a stop"},
		"its endpoint ended":        {request(100, 100, 900), []standin.Work{work(100, 900, standin.WorkBroke)}, "", ""},
		"an endpoint before ended":  {request(100, 100, 900), []standin.Work{work(100, 500, standin.WorkBroke), work(600, 900, standin.WorkLeft)}, "lost", "at a stop"},
		"its deadline passed":       {request(-39000, -39000, 1000), []standin.Work{work(-39000, 1000, standin.WorkLeft)}, "", ""},
		"just before its deadline":  {request(-38990, -38990, 1000), []standin.Work{work(-38990, 1000, standin.WorkLeft)}, "lost", "at a stop"},
		"worked on until the end":   {request(-5000, -5000, 7600), []standin.Work{work(-5000, 7600, standin.WorkLeft)}, "", ""},
		"sent 3 s after":            {request(3000, 3000, 7600), []standin.Work{work(3000, 7600, standin.WorkLeft)}, "", ""},
		"sent later than 3 s after": {request(2900, 3001, 7600), []standin.Work{work(3001, 7600, standin.WorkLeft)}, "lost", "at a stop"},
		"work ended early":          {request(0, 0, 7600), []standin.Work{work(0, 6660, standin.WorkStopped)}, "lost", "at a stop"},
		"work ended in time":        {request(0, 0, 7600), []standin.Work{work(0, 6670, standin.WorkStopped)}, "", ""},
		"endpoint works on":         {request(0, 0, 7600), []standin.Work{{Engine: "e", From: at(0)}}, "", ""},
		"its slow caller sees late": {slow, []standin.Work{work(-5000, 7600, standin.WorkLeft)}, "", ""},
		"slow, cut with work done":  {slow, []standin.Work{work(-5000, 7500, standin.WorkWhole)}, "lost", "in calm"},
		"work began after the end":  {request(0, 0, 8900), []standin.Work{work(8000, 8900, standin.WorkLeft)}, "lost", "at a stop"},
		"cut after the stop":        {request(0, 0, 9000), []standin.Work{work(0, 9000, standin.WorkLeft)}, "lost", "in calm"},
		"cut before the stop":       {request(-900, -900, -1), []standin.Work{work(-900, -1, standin.WorkLeft)}, "lost", "in calm"},
		"another instance's stop":   {elsewhere, []standin.Work{work(100, 7600, standin.WorkLeft)}, "lost", "in calm"},
		"cut at a reload":           {request(-60000, -60000, -58000), []standin.Work{work(-60000, -58000, standin.WorkLeft)}, "lost", "at a reload"},
		"cut at a new catalogue":    {request(-31000, -31000, -29000), []standin.Work{work(-31000, -29000, standin.WorkLeft)}, "lost", "at a catalogue"},
		"denied":                    {denied, nil, "denied", "404"},
		"turned away":               {turnedAway, nil, "", ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := &ledger{planned: true, records: []record{c.record}, troubles: []trouble{
				{step: step{kind: kindStop, target: 4}, began: at(0)},
				{step: step{kind: kindReload, target: 1}, began: at(-60000)},
				{step: step{kind: kindCatalogue, target: 2}, began: at(-30000)},
			}}
			lost, counts := l.judgeLosses(&losses{instances: 3, grace: 8 * time.Second, patience: 40 * time.Second, worked: func(string) []standin.Work { return c.works }})
			if c.lost == "" {
				is.Equal(lost, nil)
				is.True(c.record.outcome == outcomeServed || len(counts) == 1)
				return
			}
			is.Equal(len(lost), 1)
			is.True(strings.HasPrefix(lost[0], c.lost+": r of long"))
			is.True(strings.Contains(lost[0], c.tells))
		})
	}
}

// A shorter grace period has a shorter time in which what endpoints work on is excused.
func TestJudgeLossesShortGrace(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return start.Add(time.Duration(milliseconds) * time.Millisecond) }
	for sent, want := range map[int]int{750: 0, 751: 1} {
		l := &ledger{planned: true, troubles: []trouble{{step: step{kind: kindStop}, began: start}}, records: []record{
			{id: "r", route: routeLong, began: at(sent), whole: at(sent), ended: at(1800), outcome: outcomeBroken},
		}}
		lost, _ := l.judgeLosses(&losses{instances: 1, grace: 2 * time.Second, patience: longPatience, worked: func(string) []standin.Work {
			return []standin.Work{{Engine: "e", From: at(sent), Until: at(1800), End: standin.WorkLeft}}
		}})
		is.New(t).Equal(len(lost), want)
	}
}

func TestPlanned(t *testing.T) {
	o := &Planned{Stops: 19 * time.Second, Grace: 8 * time.Second, Reclaims: 6 * time.Second, Together: 2, Factor: 1}
	t.Run("same seed, same work", func(t *testing.T) {
		is.New(t).Equal(planned(7, time.Minute, o, &Without{}), planned(7, time.Minute, o, &Without{}))
	})
	t.Run("planned work only, instances in turn", func(t *testing.T) {
		is := is.New(t)
		seen := map[kind]int{}
		var stopped []step
		for _, s := range planned(1, 2*time.Minute, o, &Without{}) {
			seen[s.kind]++
			is.True(s.at >= quietLead-reloadLead && s.at < 2*time.Minute-quietTail)
			if s.kind == kindStop {
				stopped = append(stopped, s)
			}
		}
		is.Equal(len(seen), 4)
		is.Equal(seen[kindReclaim]%2, 0)
		is.Equal(len(stopped), 7)
		for n, s := range stopped {
			is.Equal(s.target, stopped[0].target+n)
			is.Equal(s.at, stopped[0].at+time.Duration(n)*o.Stops)
		}
	})
	t.Run("each kind can be left out", func(t *testing.T) {
		is.New(t).Equal(len(planned(1, time.Minute, o, &Without{Stops: true, Reclaims: true, Reloads: true, Catalogues: true})), 0)
	})
}
