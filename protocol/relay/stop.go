package relay

import "errors"

// stopState is what an instance knows of the stop of a run that it has asked for, with the last copy of a move.
type stopState int

// The states of a stop; a later one never turns back into an earlier one.
const (
	stopNotAsked stopState = iota // no call that may have stopped the run
	stopUnknown                   // a call may have stopped the run
	stopped                       // the endpoint has stopped the run
)

// after returns the state after a call that was to stop the run. An endpoint that returns a handle has stopped the run, also if the copy failed. One
// that does not know the run has not stopped it by this call. Any other result, such as a timeout, leaves it open, since the call may have had
// its effect.
func (s stopState) after(copied Copy, err error) stopState {
	switch {
	case err == nil || copied.Handle != "":
		return stopped
	case errors.Is(err, ErrNoRun), errors.Is(err, ErrUnreached):
		return s
	default:
		return max(s, stopUnknown)
	}
}
