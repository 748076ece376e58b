package relay

import (
	"errors"
	"strconv"
	"syscall"
)

// statusError reports that an endpoint answered with a status other than success.
type statusError struct {
	status int
}

func (s *statusError) Error() string {
	return "endpoint answered with status " + strconv.Itoa(s.status)
}

// isNotRun reports whether the endpoint certainly did not run a dispatch.
func isNotRun(err error) bool {
	_, ok := errors.AsType[*NotRunError](err)
	return ok
}

// isUnreached reports whether a dispatch did not reach an endpoint, and so put no load on it.
func isUnreached(err error) bool {
	n, ok := errors.AsType[*NotRunError](err)
	return ok && n.Cause != nil
}

// isCorrupt reports whether the bytes of an answer are wrong, rather than missing.
func isCorrupt(err error) bool {
	reason := reasonOf(err)
	return reason == ReasonGap || reason == ReasonInvalidAnswer || errors.Is(err, errEventSize)
}

// isConnectionRefused reports whether no process listens at the endpoint's address.
func isConnectionRefused(err error) bool {
	return isUnreached(err) && errors.Is(err, syscall.ECONNREFUSED)
}

// Errors of dispatches and of calls that copy a run.
var (
	// ErrNoRun reports that the endpoint does not know a run, because the run has not started or has ended.
	ErrNoRun = errors.New("endpoint does not know the run")
	// ErrMoveInProgress reports that another call which copies the run is in progress.
	ErrMoveInProgress = errors.New("run is being copied already")
	// ErrMalformed reports bytes that are no answer at all.
	ErrMalformed = errors.New("bytes of the endpoint are no answer")
	// ErrUnreached reports that no connection to the endpoint was established.
	ErrUnreached = errors.New("endpoint was not reached")
)
