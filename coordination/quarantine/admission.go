package quarantine

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/prompt"
)

// Admission is the permission to send a request. If one of its parts is suspected, the request is on trial.
type Admission struct {
	version uint64         // of the evidence at the decision
	part    prompt.Part    // on trial
	number  uint64         // of the ask for the trial; zero if there is no trial
	steward netip.AddrPort // that has allowed the trial
	until   time.Time      // end of the trial
}

// RefusalError reports that a request is not sent because of one of its parts.
type RefusalError struct {
	Part    prompt.Part
	RetryAt time.Time // of the next trial of the part
}

// Error returns the part on one line.
func (r *RefusalError) Error() string {
	return "part " + r.Part.String() + " of the request is quarantined"
}

// Admit waits until a request with these parts may be sent. It returns a *RefusalError if the request may not be sent by the deadline,
// or the error of the context. A request that is implicated was itself at an endpoint that crashed. The admission must be ended with End.
func (x *Exchange) Admit(ctx context.Context, parts []prompt.Part, implicated bool, deadline time.Time) (Admission, error) {
	if err := x.awaitInformed(ctx, deadline); err != nil {
		return Admission{}, err
	}
	latest := time.Now().Add(maximumWait)
	if deadline.Before(latest) {
		latest = deadline
	}
	for {
		ask, state := x.newAsk(parts, implicated, time.Now())
		if ask == nil {
			return Admission{version: state.version}, nil
		}
		decision, steward, err := x.decide(ctx, ask)
		if err != nil {
			return Admission{}, err
		}
		now := time.Now()
		x.config.Observer.TrialDecided(decision.Verdict)
		switch retryAt := now.Add(decision.RetryAfter); {
		case decision.Verdict == VerdictSound:
			return Admission{version: x.version()}, nil
		case decision.Verdict == VerdictTrial:
			return Admission{version: x.version(), part: decision.Part, number: ask.Number, steward: steward, until: now.Add(trialLifetime)}, nil
		case decision.Verdict == VerdictRefused || !retryAt.Before(latest):
			return Admission{}, &RefusalError{Part: decision.Part, RetryAt: retryAt}
		}
		if err := wait.For(ctx, leastAskPause); err != nil {
			return Admission{}, err
		}
		if err := awaitChange(ctx, state.changed, decision.RetryAfter); err != nil {
			return Admission{}, err
		}
	}
}

// version returns the version of the evidence.
func (x *Exchange) version() uint64 {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.state.version
}

// awaitChange waits until the evidence changes, at most for the given time.
func awaitChange(ctx context.Context, changed <-chan struct{}, limit time.Duration) error {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-changed:
		return nil
	case <-timer.C:
		return nil
	}
}

// isBlamed reports whether the steward is asked about a request; the caller holds the mutex. A part of a prompt needs to be in as many crashes as
// make it a suspect, even if this instance explains them by another part. A request as a whole, which is the last part, needs to be a suspect
// or in more crashes without an answer: popular requests are in many crashes.
func (x *Exchange) isBlamed(parts []prompt.Part, implicated bool, now time.Time) bool {
	crashes := suspectCrashes
	if implicated {
		crashes = implicatedCrashes
	}
	last := len(parts) - 1
	if last < 0 {
		return false
	}
	isBlamed := func(p prompt.Part) bool { return x.table.Blamed(p, now) >= crashes }
	return slices.ContainsFunc(parts[:last], isBlamed) || x.table.Suspects(now)[parts[last]].Crashes >= suspectCrashes || implicated && isBlamed(parts[last]) ||
		isUnanswered(x.table, parts, now)
}

// Allows reports whether an admitted request may be sent now. It may not if one of its parts has become a suspect since, or its trial has taken
// too long.
func (x *Exchange) Allows(parts []prompt.Part, a Admission, now time.Time) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	if a.number > 0 && !now.Before(a.until) {
		return false
	}
	if a.version == x.state.version || !x.isBlamed(parts, false, now) {
		return true
	}
	found := findBlame(x.table, parts, false, now)
	return found.crashes == 0 || a.number > 0 && a.part == found.part
}

// End ends an admission, with or without a result; a trial has failed if an endpoint has crashed under it. The steward of a trial is told what
// this instance knows of the part.
func (x *Exchange) End(a Admission, failed bool) {
	if a.number == 0 {
		return
	}
	now := time.Now()
	x.mutex.Lock()
	ask := &Ask{From: x.config.Self, Number: a.number, Ended: true, Failed: failed, News: x.newsOf([]prompt.Part{a.part}, now)}
	x.mutex.Unlock()
	if a.steward == x.config.Self {
		x.endHere(ask, now)
		return
	}
	if data := x.codec.Encode(ask); data != nil {
		x.config.Network.SendTrialAsk(a.steward, data)
	}
}
