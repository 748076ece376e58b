package demo

import (
	"strconv"

	"dogwooddyke/experiment/load"
	"dogwooddyke/state/catalogue"
)

// maximumAttempts bounds the generations that one answer may have had.
const maximumAttempts = 10

// Audit is what the endpoints know of what callers were told.
type Audit struct {
	Keys           int `json:"keys"`           // distinct idempotency keys
	DoubledRuns    int `json:"doubledRuns"`    // keys that ran more than once
	FalseNotRun    int `json:"falseNotRun"`    // requests told not to have run that ran
	FalseFinished  int `json:"falseFinished"`  // keys told to have run that did not
	UnlikeReplies  int `json:"unlikeReplies"`  // keys whose repeats got another reply
	RestartedIDs   int `json:"restartedIDs"`   // engines that started a generation id twice
	UntracedNotRun int `json:"untracedNotRun"` // generations told not to have run, under no id to look for
	Unclaimed      int `json:"unclaimed"`      // generations started under no id that a caller was told
	LateStarts     int `json:"lateStarts"`     // generations started at an engine that was leaving
	Preemptions    int `json:"preemptions"`
}

// ledger is what callers were told of one idempotency key.
type ledger struct {
	entry    string
	outcomes []load.Outcome
	replies  []uint64
}

// audit asks the endpoints what ran.
func audit(b *endpoints, traffic []Traffic) Audit {
	var a Audit
	ledgers := make(map[string]*ledger)
	for _, t := range traffic {
		for i := range t.Records {
			a.take(b, &t.Records[i], ledgers)
		}
	}
	a.Keys = len(ledgers)
	a.suspect(b, traffic)
	for key, l := range ledgers {
		a.check(b, key, l)
	}
	for _, g := range b.groups {
		for _, e := range g.engines {
			a.Preemptions += e.Preemptions()
			a.LateStarts += e.StartsWhileLeaving()
			if !e.StartedOnce() {
				a.RestartedIDs++
			}
		}
	}
	return a
}

func (a *Audit) take(b *endpoints, r *load.Record, ledgers map[string]*ledger) {
	if r.Key == "" {
		a.generation(b, r)
		return
	}
	l, ok := ledgers[r.Key]
	if !ok {
		l = &ledger{entry: r.Entry}
		ledgers[r.Key] = l
	}
	l.outcomes = append(l.outcomes, r.Outcome)
	if r.Outcome == load.OutcomeFinished {
		l.replies = append(l.replies, r.Reply)
	}
}

// suspect counts what engines started under no id that callers know; where requests were refused without an id, those may be theirs.
func (a *Audit) suspect(b *endpoints, traffic []Traffic) {
	started, traced, nameless := 0, 0, 0
	for _, g := range b.groups {
		for _, e := range g.engines {
			started += e.Counters().Started
		}
	}
	for _, t := range traffic {
		for i := range t.Records {
			r := &t.Records[i]
			traced += starts(b, r)
			if r.Generates() && r.Answer == "" && r.Outcome != load.OutcomeNotRun && r.Outcome != load.OutcomeUnreached {
				nameless++
			}
		}
	}
	a.Unclaimed = started - traced
	a.FalseNotRun += min(a.UntracedNotRun, max(0, a.Unclaimed-nameless))
}

// starts returns how many generations engines started for an answer.
func starts(b *endpoints, r *load.Record) int {
	g, ok := b.find(r.Entry)
	if !ok || r.Answer == "" {
		return 0
	}
	count := 0
	for _, e := range g.engines {
		for attempt := range maximumAttempts {
			count += e.Starts(r.Answer + "." + strconv.Itoa(attempt))
		}
	}
	return count
}

// generation looks for the attempts of an answer that was told not to have run.
func (a *Audit) generation(b *endpoints, r *load.Record) {
	g, ok := b.find(r.Entry)
	if !ok || g.service.Entry.Kind != catalogue.KindEngine || r.Outcome != load.OutcomeNotRun {
		return
	}
	if r.Answer == "" {
		a.UntracedNotRun++
		return
	}
	if starts(b, r) > 0 {
		a.FalseNotRun++
	}
}

// check compares the runs of a key with what its callers were told.
func (a *Audit) check(b *endpoints, key string, l *ledger) {
	runs := 0
	if g, ok := b.find(l.entry); ok {
		for _, s := range g.services {
			runs += s.RunsOfKey(key)
		}
	}
	if runs > 1 {
		a.DoubledRuns++
	}
	if runs > 0 && l.all(load.OutcomeNotRun) {
		a.FalseNotRun++
	}
	if runs == 0 && len(l.replies) > 0 {
		a.FalseFinished++
	}
	for _, r := range l.replies {
		if r != l.replies[0] {
			a.UnlikeReplies++
			return
		}
	}
}

func (l *ledger) all(o load.Outcome) bool {
	for _, got := range l.outcomes {
		if got != o {
			return false
		}
	}
	return true
}
