package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// kind is what goes wrong.
type kind string

const (
	kindKill      kind = "kill"      // an instance ends without notice and starts again
	kindStop      kind = "stop"      // an instance is asked to end, and starts again
	kindFreeze    kind = "freeze"    // an instance stands still for a while
	kindReload    kind = "reload"    // an instance is told that its settings have changed
	kindLogDown   kind = "logDown"   // the log refuses all calls
	kindLogSilent kind = "logSilent" // the log does not answer
	kindLogForget kind = "logForget" // the log forgets its history
	kindLogLink   kind = "logLink"   // one instance's way to the log is harmed
	kindReclaim   kind = "reclaim"   // an engine is taken away at short notice
	kindCrash     kind = "crash"     // an engine ends without notice
	kindEngine    kind = "engine"    // the way to an engine is harmed
	kindCatalogue kind = "catalogue" // a new version moves a route
	kindRestore   kind = "restore"   // the log comes back from an older copy
	kindLimit     kind = "limit"     // an engine names a limit on the rate of requests
	kindCrashing  kind = "crashing"  // engines crash on a part of prompts that some callers send
	kindRepeated  kind = "repeated"  // services crash under a request that callers repeat
	kindEvacuate  kind = "evacuate"  // a data centre is evacuated; its engines are cold after that
	kindRest      kind = "rest"      // an engine asks in its answers to be sent nothing

	kindRelease     kind = "release"     // engines that start are of another version from now on
	kindSpoilt      kind = "spoilt"      // an engine sends other bytes in place of some answers
	kindSaidLeaving kind = "saidLeaving" // an engine says in its answers that it leaves, which the list does not show
)

// shares are the weights of the kinds.
var shares = []struct {
	kind   kind
	weight int
}{
	{kindKill, 2},
	{kindStop, 3},
	{kindFreeze, 2},
	{kindReload, 1},
	{kindLogDown, 1},
	{kindLogSilent, 1},
	{kindLogForget, 1},
	{kindLogLink, 3},
	{kindReclaim, 8},
	{kindCrash, 1},
	{kindEngine, 1},
	{kindCatalogue, 3},
}

// step is one fault of a run.
type step struct {
	at     time.Duration // from the start of traffic
	kind   kind
	target int           // counted round the instances or engines
	mode   mode          // of a link
	last   time.Duration // how long it lasts

	notice time.Duration // from an engine's notice until it is gone
	again  time.Duration // from an instance's first SIGTERM until a second; zero: there is none
}

// plan draws the faults of a run; the same seed gives the same ones.
func plan(seed uint64, span time.Duration, without *Without) []step {
	random := rand.New(rand.NewPCG(seed, 0x50a4))
	total := 0
	for _, s := range shares {
		total += s.weight
	}
	var steps []step
	for at := quietLead; at < span-quietTail; at += between(random, leastPause, mostPause) {
		s := step{at: at, target: random.IntN(1 << 16), mode: mode(1 + random.IntN(int(modeOneWay))), last: between(random, leastFault, mostFault)}
		pick := random.IntN(total)
		for _, share := range shares {
			if pick -= share.weight; pick < 0 {
				s.kind = share.kind
				break
			}
		}
		steps = append(steps, s)
	}
	if !without.Restores {
		steps = append(steps, restores(seed, span)...)
	}
	if !without.Limits {
		steps = append(steps, limits(seed, span)...)
	}
	if !without.CrashingParts {
		steps = append(steps, crashingPart(seed, span))
	}
	if !without.RepeatedRequests {
		steps = append(steps, repeatedRequest(seed, span))
	}
	if !without.Evacuations {
		steps = append(steps, evacuations(seed, span)...)
	}
	if !without.Statements {
		steps = append(steps, statements(seed, span)...)
	}
	if !without.SpoiltAnswers {
		steps = append(steps, spoiltAnswers(seed, span)...)
	}
	if !without.Versions {
		steps = append(steps, releases(seed, span)...)
	}
	return sorted(steps)
}

func sorted(steps []step) []step {
	slices.SortStableFunc(steps, func(a, b step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// restores draws the restores of the log, from a source of their own so that each seed keeps its other faults.
func restores(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x4e57))
	var steps []step
	for at := between(random, quietLead, mostCalm); at < span-quietTail; at += between(random, leastCalm, mostCalm) {
		steps = append(steps, step{at: at, kind: kindRestore, target: random.IntN(1 << 16), mode: modeSilence, last: between(random, leastFault, mostFault)})
	}
	return steps
}

// limits draws the limits that engines name, from a source of their own as well. One may move or end at any time, and several may hold at once.
func limits(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x11a7))
	var steps []step
	for at := between(random, quietLead, mostCalm/2); at < span-quietTail; at += between(random, leastCalm, mostCalm/2) {
		steps = append(steps, step{at: at, kind: kindLimit, target: random.IntN(1 << 16), mode: modeSilence, last: between(random, leastLimit, mostLimit)})
	}
	return steps
}

// spoiltAnswers draws when engines spoil some of their answers, from a source of its own as well.
func spoiltAnswers(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x5901))
	var steps []step
	for at := between(random, quietLead, mostCalm/2); at < span-quietTail; at += between(random, leastCalm, mostCalm/2) {
		steps = append(steps, step{at: at, kind: kindSpoilt, target: random.IntN(1 << 16), mode: modeSilence, last: between(random, leastFault, mostFault)})
	}
	return steps
}

// crashingPart draws when engines begin to crash on a part of prompts, from a source of its own as well; that lasts until the tail.
func crashingPart(seed uint64, span time.Duration) step {
	random := rand.New(rand.NewPCG(seed, 0xdead))
	at := between(random, quietLead, max(span/2, quietLead+1))
	return step{at: at, kind: kindCrashing, target: random.IntN(1 << 16), mode: modeSilence, last: span - quietTail - at}
}

// repeatedRequest draws when services begin to crash under a repeated request, from a source of its own as well; that lasts until the tail.
func repeatedRequest(seed uint64, span time.Duration) step {
	random := rand.New(rand.NewPCG(seed, 0x4e9e))
	at := between(random, quietLead, max(span/2, quietLead+1))
	return step{at: at, kind: kindRepeated, target: random.IntN(1 << 16), mode: modeSilence, last: span - quietTail - at}
}

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}
