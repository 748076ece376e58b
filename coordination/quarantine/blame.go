package quarantine

import (
	"time"

	"dogwooddyke/state/prompt"
	"dogwooddyke/state/suspicion"
)

// blame is the reason for which a request needs a trial; the zero value says that it needs none.
type blame struct {
	part      prompt.Part
	crashes   int           // that count against the part
	latest    time.Time     // of these crashes
	rivals    []prompt.Part // of other requests, which explain the same crashes equally well
	explained bool          // another part explains the crashes better
}

// findBlame returns the part for which a request needs a trial. That is the suspect of most crashes, or the request as a whole if it was in many
// crashes without an answer, or, if the request is implicated, a part that alone explains a crash.
func findBlame(t *suspicion.Table, parts []prompt.Part, implicated bool, now time.Time) blame {
	found := findCause(t, parts, implicated, now)
	if found.crashes == 0 && isUnanswered(t, parts, now) {
		return blame{part: parts[len(parts)-1], crashes: unansweredCrashes, explained: true}
	}
	return found
}

// findCause is findBlame for the parts that explain crashes best.
func findCause(t *suspicion.Table, parts []prompt.Part, implicated bool, now time.Time) blame {
	var found blame
	suspects := t.Suspects(now)
	for _, p := range parts {
		if s := suspects[p]; s.Crashes >= suspectCrashes && s.Crashes > found.crashes {
			found = blame{part: p, crashes: s.Crashes, latest: s.Latest, rivals: s.Rivals}
		}
	}
	for _, p := range parts {
		if found.crashes == 0 && implicated && t.IsUnexplained(p, now) {
			found = blame{part: p, crashes: implicatedCrashes}
		}
	}
	return found
}

// isUnanswered reports whether a request as a whole, which is the last of its parts, was in so many crashes without an answer that it is tried though
// another part explains them. Several requests that crash endpoints are often at the same ones, and each would hide the others until it is kept from
// endpoints itself. A sound request is answered between so many crashes, or as soon as one copy of it is sent.
func isUnanswered(t *suspicion.Table, parts []prompt.Part, now time.Time) bool {
	return len(parts) > 0 && t.Unanswered(parts[len(parts)-1], now) >= unansweredCrashes
}

// hold returns the time from the latest crash that a part has caused to its next trial, as far as the crashes alone say. They say little of how
// often a part has been tried: many requests with it may have been sent before the first crash. Of several parts that explain the crashes equally
// well, most are sound, so they do not wait.
func (b *blame) hold() time.Duration {
	if b.crashes <= suspectCrashes || len(b.rivals) > 0 {
		return 0
	}
	return firstHold
}

// trialLifetime returns the time after which a trial without a result counts as lost.
func (b *blame) trialLifetime() time.Duration {
	if b.explained {
		return explainedLifetime
	}
	return trialLifetime
}
