package claim

import (
	"errors"
	"time"

	"github.com/google/uuid"
)

// State says what a key's steward answers; it is a metrics label.
type State string

// The states of a key as a caller of Grant sees them.
const (
	StateGranted  State = "granted"       // the call may run, once
	StateRunning  State = "running"       // another call has the key, and its result is not known
	StateSettled  State = "settled"       // another call has run, and here is its result
	StateConflict State = "conflict"      // another request has used the key
	StateOutside  State = "outsideWindow" // the key was made outside the window in which keys are honoured
	StateMoved    State = "moved"         // this instance is not the partition's steward; for other instances only
	StateFull     State = "full"          // the partition holds or awaits as many claims as it can
)

// ErrNoClaim reports that no claim could be had before the deadline; the call certainly did not run under it.
var ErrNoClaim = errors.New("no claim before the deadline")

// Ask wants the right to run one call under a key.
type Ask struct {
	Key      Digest    `json:"key"`
	Call     uuid.UUID `json:"call"` // names this question and the run that may follow; never asked twice
	Body     Digest    `json:"body"`
	Born     time.Time `json:"born,omitzero"` // of a UUIDv7 key; zero for others
	Deadline time.Time `json:"deadline"`      // of this question
}

// Grant is the answer; Data is the former call's result where it is settled, and Holder the call that has the key where it
// is running and known.
type Grant struct {
	State  State     `json:"state"`
	Data   []byte    `json:"data,omitempty"`
	Holder uuid.UUID `json:"holder,omitzero"`
}

// Settlement ends a claimed call, with its result, or as one that certainly did not run.
type Settlement struct {
	Key       Digest    `json:"key"`
	Call      uuid.UUID `json:"call"`
	Abandoned bool      `json:"abandoned,omitempty"`
	Data      []byte    `json:"data,omitempty"`
}

// Observer is told of what stewards do; it must be fast and safe for concurrent use.
type Observer interface {
	// Answered reports the answer to a question.
	Answered(state State)
	// Committed reports a record that counts, with its claims and results, and how long it took.
	Committed(claims, results int, took time.Duration)
	// TakenOver reports the start of a stewardship, with the records that were read for it.
	TakenOver(partition, records int, took time.Duration)
	// Deposed reports the end of a stewardship by another one.
	Deposed(partition int)
	// Voided reports a record that did not count for its place in the log.
	Voided(partition int)
	// Dropped reports a result that could not be handed to a steward.
	Dropped()
}

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) Answered(State)                      {}
func (noObserver) Committed(_, _ int, _ time.Duration) {}
func (noObserver) TakenOver(_, _ int, _ time.Duration) {}
func (noObserver) Deposed(int)                         {}
func (noObserver) Voided(int)                          {}
func (noObserver) Dropped()                            {}
