package answer

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Verdict is the filter's decision on one event of a generation; it is a metrics label.
type Verdict string

// The verdicts of a filter.
const (
	VerdictPass      Verdict = "pass"      // the next token, which the caller does not have yet
	VerdictVerified  Verdict = "verified"  // a token of a replay that the caller already has
	VerdictTrailing  Verdict = "trailing"  // the first event without an index after the last token, which carries the usage
	VerdictDuplicate Verdict = "duplicate" // an index that was read before
	VerdictForeign   Verdict = "foreign"   // an event of another generation
	VerdictGap       Verdict = "gap"       // an index beyond the next one
	VerdictLate      Verdict = "late"      // any other event after the last token, or an event without an index before it
	VerdictMismatch  Verdict = "mismatch"  // a replay that differs from the delivered tokens
)

// Filter passes each token of one answer exactly once, in order and from the current generation only. The zero value is not usable.
type Filter struct {
	generation     string
	next           int      // index of the next token of the generation
	delivered      int      // tokens that have passed
	hash           uint64   // rolling hash of the tokens of the generation before next
	deliveredHash  uint64   // rolling hash of all delivered tokens
	checkpoints    []uint64 // rolling hashes of the delivered tokens, one for each checkpointInterval tokens
	ended          bool     // the last token has passed
	trailingPassed bool     // an event after the last token has passed
}

// NewFilter returns a filter for an answer of which no token has been delivered.
func NewFilter(generation string) *Filter {
	return &Filter{generation: generation}
}

// resumeFilter returns a filter for a generation of which the given number of tokens, with this rolling hash, has been delivered.
func resumeFilter(generation string, delivered int, hash uint64) *Filter {
	return &Filter{generation: generation, next: delivered, delivered: delivered, hash: hash, deliveredHash: hash}
}

// Accept returns the verdict on the event and counts it if it passes.
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

// acceptUnindexed returns the verdict on an event that carries no token.
func (f *Filter) acceptUnindexed() Verdict {
	if !f.ended || f.trailingPassed {
		return VerdictLate
	}
	f.trailingPassed = true
	return VerdictTrailing
}

// compareReplay compares the replay with the delivered tokens, at checkpoints and at the last delivered token. A replay that ends
// at or before the last delivered token is a mismatch, because the answer went on.
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

// addCheckpoint keeps the hash at each checkpointInterval, so that a differing replay is detected before it reaches the last
// delivered token. An answer that was resumed from a token has no checkpoints.
func (f *Filter) addCheckpoint() {
	if f.next%checkpointInterval == 0 && len(f.checkpoints) == f.next/checkpointInterval-1 {
		f.checkpoints = append(f.checkpoints, f.hash)
	}
}

// Replay switches to a new generation, whose tokens must equal the delivered ones before further tokens pass.
func (f *Filter) Replay(generation string) {
	f.generation = generation
	f.next = 0
	f.hash = 0
}

// Verifying reports whether the replay has not yet reached the last delivered token.
func (f *Filter) Verifying() bool { return f.next < f.delivered }

// chainHash returns the rolling hash with the token added.
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
