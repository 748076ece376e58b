package quarantine

import (
	"maps"
	"net/netip"
	"time"

	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// Steward decides which requests with suspected parts may be sent. It does no I/O and is not safe for concurrent use; callers pass the current
// time.
type Steward struct {
	trials map[prompt.Part]trial
}

// trial is a request with a suspected part that was allowed.
type trial struct {
	holder TrialID
	began  time.Time
	until  time.Time
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

// Decide decides about a request whose prompt has these parts. A request that is implicated was itself at an endpoint that crashed.
func (s *Steward) Decide(t *suspicion.Table, parts []prompt.Part, implicated bool, id TrialID, now time.Time) Decision {
	part, suspect := worst(t, parts, implicated, now)
	if suspect.Crashes == 0 {
		return Decision{Verdict: VerdictSound}
	}
	current, found := s.trials[part]
	if found && current.holder == id {
		return Decision{Verdict: VerdictTrial, Part: part}
	}
	if found && current.isRunning(suspect, now) {
		return Decision{Verdict: VerdictBusy, Part: part, RetryAfter: min(current.until.Sub(now), busyRetryDelay)}
	}
	if until := suspect.Latest.Add(hold(suspect.Crashes)); now.Before(until) {
		return Decision{Verdict: VerdictRefused, Part: part, RetryAfter: until.Sub(now)}
	}
	if !found && len(s.trials) >= maximumTrials {
		s.forgetEnded(now)
	}
	if !found && len(s.trials) >= maximumTrials {
		return Decision{Verdict: VerdictBusy, Part: part, RetryAfter: busyRetryDelay}
	}
	s.trials[part] = trial{holder: id, began: now, until: now.Add(trialLifetime)}
	return Decision{Verdict: VerdictTrial, Part: part}
}

// worst returns the part that is suspected of most crashes; the zero value if none is.
func worst(t *suspicion.Table, parts []prompt.Part, implicated bool, now time.Time) (prompt.Part, suspicion.Suspect) {
	var part prompt.Part
	var found suspicion.Suspect
	suspects := t.Suspects(now)
	for _, p := range parts {
		if suspect := suspects[p]; suspect.Crashes >= suspectCrashes && suspect.Crashes > found.Crashes {
			part, found = p, suspect
		}
	}
	if found.Crashes > 0 || !implicated {
		return part, found
	}
	for _, p := range parts {
		if t.IsUnexplained(p, now) {
			return p, suspicion.Suspect{Crashes: implicatedCrashes}
		}
	}
	return part, found
}

// isRunning reports whether a trial has no result yet: an endpoint that has crashed since may have been its own.
func (t trial) isRunning(suspect suspicion.Suspect, now time.Time) bool {
	return now.Before(t.until) && !suspect.Latest.After(t.began)
}

// hold returns the time from the latest crash that a part has caused to its next trial.
func hold(crashes int) time.Duration {
	if crashes <= suspectCrashes {
		return 0
	}
	return min(firstHold<<min(crashes-suspectCrashes-1, 10), longestHold)
}

// End ends a trial whose request has ended.
func (s *Steward) End(id TrialID) {
	maps.DeleteFunc(s.trials, func(_ prompt.Part, t trial) bool { return t.holder == id })
}

// forgetEnded forgets the trials whose lifetime has passed.
func (s *Steward) forgetEnded(now time.Time) {
	maps.DeleteFunc(s.trials, func(_ prompt.Part, t trial) bool { return !now.Before(t.until) })
}
