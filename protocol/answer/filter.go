package answer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Verdict says what becomes of one event of a generation; it is a metrics label.
type Verdict string

// The verdicts on events.
const (
	VerdictPass      Verdict = "pass"
	VerdictVerified  Verdict = "verified"  // an equal copy of a token that the caller has
	VerdictTrailing  Verdict = "trailing"  // the one event after the last token, which has no index: usage
	VerdictDuplicate Verdict = "duplicate" // an index that was seen
	VerdictForeign   Verdict = "foreign"   // another generation
	VerdictGap       Verdict = "gap"       // an index past the next one
	VerdictLate      Verdict = "late"      // anything else after the last token, or an event without an index before it
	VerdictMismatch  Verdict = "mismatch"  // a replay that differs from what the caller has
)

// Filter lets each token of one answer pass once, in order and from one generation; the zero value is not usable.
type Filter struct {
	generation     string
	next           int // index of the next token of the generation
	delivered      int // tokens that the caller has
	hash           uint64
	deliveredHash  uint64   // sum of the delivered tokens
	checkpoints    []uint64 // sums of the delivered tokens at each multiple of markInterval
	ended          bool
	trailingPassed bool // an event after the last token has passed
}

// NewFilter starts an answer's first generation.
func NewFilter(generation string) *Filter {
	return &Filter{generation: generation}
}

// resumeFilter goes on with a generation of which the caller has tokens with the sum.
func resumeFilter(generation string, delivered int, hash uint64) *Filter {
	return &Filter{generation: generation, next: delivered, delivered: delivered, hash: hash, deliveredHash: hash}
}

// Accept judges the event and counts it when it passes.
func (f *Filter) Accept(token Token) Verdict {
	if token.Generation != f.generation {
		return VerdictForeign
	}
	if token.Index < 0 {
		return f.acceptUnindexed()
	}
	if token.Index < f.next {
		return VerdictDuplicate
	}
	if f.ended {
		return VerdictLate
	}
	if token.Index > f.next {
		return VerdictGap
	}
	f.next++
	f.hash = chainHash(f.hash, token)
	if f.next <= f.delivered {
		return f.compareReplay(token)
	}
	f.delivered = f.next
	f.deliveredHash = f.hash
	f.ended = token.Last
	f.addCheckpoint()
	return VerdictPass
}

func (f *Filter) acceptUnindexed() Verdict {
	if !f.ended || f.trailingPassed {
		return VerdictLate
	}
	f.trailingPassed = true
	return VerdictTrailing
}

// compareReplay checks a token of a replay that the caller already has.
func (f *Filter) compareReplay(token Token) Verdict {
	if token.Last {
		return VerdictMismatch
	}
	if f.next == f.delivered {
		if f.hash != f.deliveredHash {
			return VerdictMismatch
		}
		return VerdictVerified
	}
	checkpoint := f.next/checkpointInterval - 1
	if f.next%checkpointInterval == 0 && checkpoint < len(f.checkpoints) && f.checkpoints[checkpoint] != f.hash {
		return VerdictMismatch
	}
	return VerdictVerified
}

// addCheckpoint notes the sum, so that a differing replay is found before its end; answers that began elsewhere have no marks.
func (f *Filter) addCheckpoint() {
	if f.next%checkpointInterval == 0 && len(f.checkpoints) == f.next/checkpointInterval-1 {
		f.checkpoints = append(f.checkpoints, f.hash)
	}
}

// Replay starts another generation, whose tokens must equal the delivered ones before further tokens pass.
func (f *Filter) Replay(generation string) {
	f.generation = generation
	f.next = 0
	f.hash = 0
}

// Verifying reports whether a replay has not yet reached what the caller has.
func (f *Filter) Verifying() bool { return f.next < f.delivered }

// chainHash adds a token to a rolling hash.
func chainHash(hash uint64, token Token) uint64 {
	var frame [16]byte
	binary.LittleEndian.PutUint64(frame[:8], hash)
	binary.LittleEndian.PutUint64(frame[8:], uint64(len(token.Text)))
	digest := xxhash.New()
	_, _ = digest.Write(frame[:])
	_, _ = digest.WriteString(token.Text)
	_, _ = digest.WriteString(token.Extra)
	return digest.Sum64()
}
