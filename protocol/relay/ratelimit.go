package relay

import "errors"

// statedRateLimit returns what the result of a dispatch says of its endpoint's rate limit, and whether it says anything. An answer that
// names no limit says that there is none only if the endpoint has signed it: a refusal may come from a part of the endpoint that does not
// know the limit, and unsigned bytes may not come from the endpoint at all.
func statedRateLimit(reply *Reply, err error) (RateLimit, bool) {
	if err == nil {
		return reply.RateLimit, reply.Signed || reply.RateLimit.Limit.Named || reply.RateLimit.Err != nil
	}
	refusal, ok := errors.AsType[*NotRunError](err)
	if !ok {
		return RateLimit{}, false
	}
	return refusal.RateLimit, refusal.RateLimit.Limit.Named || refusal.RateLimit.Err != nil
}
