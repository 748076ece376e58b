package control

import (
	"math/rand/v2"
	"time"
)

// wish says what an operator does on purpose.
type wish string

// The kinds of publication.
const (
	wishFresh  wish = "fresh"  // based on the revision that the operator has just read
	wishStale  wish = "stale"  // based on a former revision
	wishRepeat wish = "repeat" // the operator's former change again, under its id
	wishRemove wish = "remove" // takes a workspace out
)

// job is one publication of one session.
type job struct {
	at      time.Duration // from the start
	wish    wish
	subject int
	edit    time.Duration // between reading and appending
	seed    uint64
}

// plan divides the changes among the sessions; the same seed gives the same plan.
func plan(o *Options) [][]job {
	random := rand.New(rand.NewPCG(o.Seed, 1))
	jobs := make([][]job, sessionCount)
	for n := range int(o.Changes * o.Seconds) {
		j := job{
			at:   time.Duration(float64(n) / o.Changes * float64(time.Second)),
			seed: random.Uint64(),
		}
		j.edit = time.Duration(random.Int64N(int64(maximumEdit)))
		j.subject = entryCount + random.IntN(workspaceCount)
		if random.Float64() < entryShare {
			j.subject = random.IntN(entryCount)
		}
		j.wish = pick(random, j.subject)
		at := n % sessionCount
		jobs[at] = append(jobs[at], j)
	}
	return jobs
}

func pick(random *rand.Rand, subject int) wish {
	draw := random.Float64()
	switch {
	case draw < staleShare:
		return wishStale
	case draw < staleShare+repeatShare:
		return wishRepeat
	case draw < staleShare+repeatShare+removalShare && subject >= entryCount:
		return wishRemove
	default:
		return wishFresh
	}
}
