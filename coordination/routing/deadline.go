package routing

import (
	"cmp"
	"slices"
	"time"
)

// refuseLate refuses queued requests that can't start before their deadlines any more. When engines are lost or more urgent requests
// arrive while many requests are queued, the waits that were predicted at submission no longer hold. A request that is refused only at
// its deadline leaves its caller no time to go elsewhere. The requests behind a refused one move up, so no more are refused than
// necessary.
func (c *Core) refuseLate(now time.Time) {
	for _, p := range c.sortedPools {
		if !p.backlogged || p.isPlain() || now.Sub(p.latenessChecked) < latenessCheckPeriod {
			continue
		}
		p.latenessChecked = now
		for _, late := range c.lateRequests(p, now) {
			r := late.request
			patience := r.spec.Deadline.Sub(r.submitted)
			c.Withdraw(r, ReasonDeadline, now)
			r.refusal.RetryAt = retryTime(late.wait, now.Add(patience), now)
			c.decidedRequests = append(c.decidedRequests, r)
		}
	}
}

// lateRequest is a queued request that can't start before its deadline, with its predicted further wait.
type lateRequest struct {
	request *Request
	wait    time.Duration
}

// lateRequests returns the pool's queued requests that would start after their deadlines. It predicts the wait of each
// from the number of requests before it that are not refused: of the same version if it needs one.
func (c *Core) lateRequests(p *pool, now time.Time) []lateRequest {
	var found []lateRequest
	ahead := make(map[string]int) // by version; of the empty one: all
	for _, r := range c.servingOrder(p, now) {
		model := c.modelledStartRate(r, now)
		rate := max(r.startRate(model), model) * latenessFactor // the observed rate lags behind when engines return
		wait := time.Duration(float64(ahead[r.spec.Version]) / max(rate, minimumStartRate) * float64(time.Second))
		if rate > 0 && !r.spec.Deadline.IsZero() && now.Add(wait).After(r.spec.Deadline) {
			found = append(found, lateRequest{r, wait})
			continue
		}
		ahead[""]++
		if r.spec.Version != "" {
			ahead[r.spec.Version]++
		}
	}
	return found
}

// servingOrder returns the pool's queued requests that no limit delays, in the approximate order of their start: by aged priority, then
// by the tokens that their workspace will have been served by then.
func (c *Core) servingOrder(p *pool, now time.Time) []*Request {
	type queuedRequest struct {
		request      *Request
		agedPriority int
		served       float64
	}
	var queued []queuedRequest
	for _, f := range c.queue.flows {
		if f.first().pool != p || !c.withinLimits(f.first(), now) {
			continue
		}
		served := f.first().workspaceAccount.Served
		for _, r := range f.requests {
			queued = append(queued, queuedRequest{r, r.agedPriority(now), served})
			served += r.expectedCharge()
		}
	}
	slices.SortStableFunc(queued, func(a, b queuedRequest) int {
		return cmp.Or(cmp.Compare(a.agedPriority, b.agedPriority), cmp.Compare(a.served, b.served))
	})
	requests := make([]*Request, 0, len(queued))
	for _, q := range queued {
		requests = append(requests, q.request)
	}
	return requests
}
