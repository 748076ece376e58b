package model

import "time"

// Generation is one request to a model; the caller sets the exported fields and leaves them alone after Start.
type Generation struct {
	ID       string
	Priority int      // 0 is served first
	Prompt   int      // tokens
	Length   int      // tokens to emit, 1 or more
	Blocks   []uint64 // hashes of the prompt's blocks (see state/endpoint)

	phase       phase
	arrival     uint64 // order of Start calls
	emitted     int
	prefill     int // prompt tokens yet to be processed
	position    int // in the waiting heap
	preemptions int
	stalled     time.Time // since when preempted; zero when not
}

type phase uint8

const (
	phaseNew phase = iota
	phaseWaiting
	phaseRunning
	phaseEnded
)

// Emitted returns the number of tokens that the generation has emitted.
func (g *Generation) Emitted() int { return g.emitted }

// Preemptions returns how often the generation has lost its memory.
func (g *Generation) Preemptions() int { return g.preemptions }

// Running reports whether the generation is in the batch.
func (g *Generation) Running() bool { return g.phase == phaseRunning }

// held is the memory of a running generation, tokens.
func (g *Generation) held() int { return g.Prompt + g.emitted }

// before orders by priority, then by arrival.
func (g *Generation) before(other *Generation) bool {
	if g.Priority != other.Priority {
		return g.Priority < other.Priority
	}
	return g.arrival < other.arrival
}
