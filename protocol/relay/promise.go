package relay

import (
	"errors"
	"net/http"
)

// errUnproven reports an answer whose status promises that the request has not run, and that does not say so otherwise.
var errUnproven = errors.New("status of the answer promises that the request has not run, but the endpoint did not say so")

// promisesNotRun reports whether a status means to a caller that its request has not run and never will. Callers send a request again after it, also
// one that may run only once.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		return true
	default:
		return false
	}
}

// checkReply returns an error if an answer may not be forwarded, whatever its body is. The request of a reply may have run. A status that promises the
// contrary is forwarded only as the endpoint's own answer to a request that callers may repeat anyway.
func (x *execution) checkReply(reply *Reply) error {
	switch {
	case reply.Encoded, IsSuccess(reply.Status) && !reply.Signed:
		return errInvalidAnswer
	case promisesNotRun(reply.Status) && !(reply.Signed && x.request.Route.Repeatable()):
		return errUnproven
	default:
		return nil
	}
}
