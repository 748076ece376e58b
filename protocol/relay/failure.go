package relay

import (
	"errors"
	"strconv"
	"syscall"
)

// statusError is an endpoint's own failure.
type statusError struct {
	status int
}

func (s *statusError) Error() string {
	return "endpoint answered with status " + strconv.Itoa(s.status)
}

func isNotRun(err error) bool {
	_, is := errors.AsType[*NotRunError](err)
	return is
}

// isUnreached tells whether a dispatch did not get as far as an endpoint, so that it cost none anything.
func isUnreached(err error) bool {
	n, is := errors.AsType[*NotRunError](err)
	return is && n.Cause != nil
}

// isAbsent tells whether nothing listens at the endpoint's address.
func isAbsent(err error) bool { return isUnreached(err) && errors.Is(err, syscall.ECONNREFUSED) }

// ErrNoRun reports a run that the endpoint does not know: it has not begun, or is over.
var ErrNoRun = errors.New("no such run")
