package answer

import "time"

// State is a state of an answer; it is a metrics label.
type State string

// The states of an answer; the last four are final.
const (
	StateAccepted    State = "accepted"    // registered, nothing has been done yet
	StateQueued      State = "queued"      // waits for a slot on an endpoint
	StateDispatched  State = "dispatched"  // sent to an engine, no token received yet
	StateStreaming   State = "streaming"   // tokens are being received
	StateSilent      State = "silent"      // the progress deadline has passed
	StateResuming    State = "resuming"    // a new connection to the same generation is being opened
	StateReplaying   State = "replaying"   // a new generation is compared with the delivered tokens
	StateFinished    State = "finished"    // the caller has the whole answer
	StateInterrupted State = "interrupted" // ran or may have run, but can't be finished
	StateCancelled   State = "cancelled"   // the caller left
	StateRefused     State = "refused"     // is known not to have run
)

// transitions lists the states that may follow each state; a state without successors is final.
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

// Final reports whether no state may follow.
func (s State) Final() bool { return len(transitions[s]) == 0 }

// mayFollow reports whether transitions allows s after from.
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
	ID     string    // answer id
	Entry  string    // name of the catalogue entry
	From   State     // previous state
	To     State     // new state
	At     time.Time // time of the change
	Detail string    // cause of the change, for explanations
	Legal  bool      // transitions allows the change; false indicates a bug
}

// stateMachine tracks the state of one answer; it is used by one goroutine.
type stateMachine struct {
	id       string
	entry    string
	state    State
	observer Observer
}

func newStateMachine(id, entry string, observer Observer) *stateMachine {
	return &stateMachine{id: id, entry: entry, state: StateAccepted, observer: observer}
}

// transition changes the state and notifies the observer, also of a transition that is not allowed.
func (m *stateMachine) transition(to State, detail string) {
	from := m.state
	m.state = to
	m.observer.StateChanged(Transition{
		ID: m.id, Entry: m.entry, From: from, To: to,
		At: time.Now(), Detail: detail, Legal: to.mayFollow(from),
	})
}
