package answer

import "time"

// State is a stage in the life of an answer; it is a metrics label.
type State string

// The states of an answer; the last four are final.
const (
	StateAccepted    State = "accepted"    // known, nothing done
	StateQueued      State = "queued"      // waits for an endpoint
	StateDispatched  State = "dispatched"  // sent to an engine, no token yet
	StateStreaming   State = "streaming"   // tokens arrive
	StateSilent      State = "silent"      // the progress deadline has passed
	StateResuming    State = "resuming"    // opens a new connection to the same generation
	StateReplaying   State = "replaying"   // compares a new generation with what was delivered
	StateFinished    State = "finished"    // the caller has the whole answer
	StateInterrupted State = "interrupted" // ran or may have run, and can't be finished
	StateCancelled   State = "cancelled"   // the caller left
	StateRefused     State = "refused"     // certainly did not run
)

// transitions lists the states that may follow each state; a state without followers is final.
var transitions = map[State][]State{
	StateAccepted:    {StateQueued, StateResuming, StateFinished, StateInterrupted, StateCancelled, StateRefused},
	StateQueued:      {StateDispatched, StateInterrupted, StateCancelled, StateRefused},
	StateDispatched:  {StateStreaming, StateReplaying, StateSilent, StateResuming, StateQueued, StateInterrupted, StateCancelled, StateRefused},
	StateStreaming:   {StateSilent, StateResuming, StateQueued, StateFinished, StateInterrupted, StateCancelled},
	StateSilent:      {StateResuming, StateQueued, StateInterrupted, StateCancelled},
	StateResuming:    {StateDispatched, StateStreaming, StateReplaying, StateSilent, StateQueued, StateFinished, StateInterrupted, StateCancelled},
	StateReplaying:   {StateStreaming, StateSilent, StateResuming, StateQueued, StateInterrupted, StateCancelled},
	StateFinished:    {},
	StateInterrupted: {},
	StateCancelled:   {},
	StateRefused:     {},
}

// Final reports whether no state follows.
func (s State) Final() bool { return len(transitions[s]) == 0 }

// mayFollow reports whether the table has a transition from one state to the other.
func (s State) mayFollow(from State) bool {
	for _, next := range transitions[from] {
		if next == s {
			return true
		}
	}
	return false
}

// Transition is one change of state of an answer.
type Transition struct {
	ID     string
	Entry  string
	From   State
	To     State
	At     time.Time
	Detail string // cause, for explanations
	Legal  bool   // the table has it; false is a fault of this program
}

// stateMachine is the state of one answer; it is used by one goroutine.
type stateMachine struct {
	id       string
	entry    string
	state    State
	observer Observer
}

func newStateMachine(id, entry string, observer Observer) *stateMachine {
	return &stateMachine{id: id, entry: entry, state: StateAccepted, observer: observer}
}

// transition changes the state and tells the observer.
func (m *stateMachine) transition(to State, detail string) {
	from := m.state
	m.state = to
	m.observer.StateChanged(Transition{
		ID: m.id, Entry: m.entry, From: from, To: to,
		At: time.Now(), Detail: detail, Legal: to.mayFollow(from),
	})
}
