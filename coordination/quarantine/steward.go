package quarantine

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// Steward decides which requests with suspected parts may be sent. It does no I/O and is not safe for concurrent use; callers pass the current
// time.
type Steward struct {
	trials map[prompt.Part]trial
}

// trial is what a steward knows of the trials of a part.
type trial struct {
	holder   TrialID   // of the latest trial; the zero value once it has ended
	until    time.Time // after which the latest trial counts as lost
	failures int       // trials in which an endpoint crashed
	retryAt  time.Time // of the next trial
}

// TrialID identifies an ask for a trial.
type TrialID struct {
	Instance netip.AddrPort
	Number   uint64
}

// Verdict is what a steward decides about a request.
type Verdict int

// The verdicts on a request.
const (
	VerdictSound   Verdict = iota // no part is suspected
	VerdictTrial                  // the request may be sent as a trial
	VerdictBusy                   // another request is on trial
	VerdictRefused                // the part has failed its trials
)

// String returns the verdict's name, which is a label of metrics.
func (v Verdict) String() string {
	switch v {
	case VerdictSound:
		return "sound"
	case VerdictTrial:
		return "trial"
	case VerdictBusy:
		return "busy"
	default:
		return "refused"
	}
}

// Decision is the answer to an ask.
type Decision struct {
	Verdict    Verdict
	Part       prompt.Part   // that the verdict is about, unless it is VerdictSound
	RetryAfter time.Duration // until another ask may succeed, of VerdictBusy and VerdictRefused
}

// NewSteward returns a steward without trials.
func NewSteward() *Steward { return &Steward{trials: make(map[prompt.Part]trial)} }

// Decide decides about a request with these parts. A request that is implicated was itself at an endpoint that crashed.
func (s *Steward) Decide(t *suspicion.Table, parts []prompt.Part, implicated bool, id TrialID, now time.Time) Decision {
	found := findBlame(t, parts, implicated, now)
	if found.crashes == 0 {
		return Decision{Verdict: VerdictSound}
	}
	part, current := found.part, s.trials[found.part]
	retryAt := s.retryAt(t, &found)
	switch {
	case current.isRunning(now) && current.holder == id:
		return Decision{Verdict: VerdictTrial, Part: part}
	case current.isRunning(now) || s.isRivalOnTrial(found.rivals, now):
		return Decision{Verdict: VerdictBusy, Part: part, RetryAfter: busyRetryDelay}
	case now.Before(retryAt):
		return Decision{Verdict: VerdictRefused, Part: part, RetryAfter: retryAt.Sub(now)}
	case !s.hasRoom(part, now):
		return Decision{Verdict: VerdictBusy, Part: part, RetryAfter: busyRetryDelay}
	}
	current.holder, current.until = id, now.Add(found.trialLifetime())
	s.trials[part] = current
	return Decision{Verdict: VerdictTrial, Part: part}
}

// retryAt returns when a part may be tried again. A part whose crashes another one explains does not wait: it may be sound, and its trials may have
// failed because of the other one.
func (s *Steward) retryAt(t *suspicion.Table, b *blame) time.Time {
	if b.explained {
		return time.Time{}
	}
	retryAt := latest(s.trials[b.part].retryAt, b.latest.Add(b.hold()))
	if failures, at := t.FailedTrials(b.part); failures > 0 {
		retryAt = latest(retryAt, at.Add(holdAfter(failures))) // also trials that another steward has allowed
	}
	return retryAt
}

// isRunning reports whether a request is on trial.
func (t *trial) isRunning(now time.Time) bool { return now.Before(t.until) && t.holder != TrialID{} }

// isRivalOnTrial reports whether a request with another part is on trial that may have caused the same crashes. If both were at one endpoint that
// crashed, nothing would be known.
func (s *Steward) isRivalOnTrial(rivals []prompt.Part, now time.Time) bool {
	return slices.ContainsFunc(rivals, func(p prompt.Part) bool {
		t := s.trials[p]
		return t.isRunning(now)
	})
}

// hasRoom reports whether a trial of the part can be noted; if there are too many, those that matter no more are forgotten.
func (s *Steward) hasRoom(p prompt.Part, now time.Time) bool {
	if _, found := s.trials[p]; found || len(s.trials) < maximumTrials {
		return true
	}
	maps.DeleteFunc(s.trials, func(_ prompt.Part, t trial) bool { return !now.Before(t.until) && !now.Before(t.retryAt) })
	return len(s.trials) < maximumTrials
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// holdAfter returns the time from a failed trial of a part, which is the latest of so many, to its next one.
func holdAfter(failures int) time.Duration { return min(firstHold<<min(failures-1, 10), longestHold) }

// End ends a trial, which has failed if an endpoint has crashed under it.
func (s *Steward) End(id TrialID, failed bool, now time.Time) {
	for p, t := range s.trials {
		if t.holder != id {
			continue
		}
		if !failed && t.failures == 0 {
			delete(s.trials, p)
			continue
		}
		t.holder = TrialID{}
		if failed {
			t.failures++
			t.retryAt = now.Add(holdAfter(t.failures))
		}
		s.trials[p] = t
	}
}

// Forget forgets the trials of a part that is not suspected any more.
func (s *Steward) Forget(p prompt.Part) { delete(s.trials, p) }
