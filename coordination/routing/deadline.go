package routing

import (
	"cmp"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
)

// giveUp refuses queued requests that can't start in time any more. It answers the load pattern of engines that are lost, or of more
// urgent requests that come, while many wait: what was expected at their submission doesn't hold, and who waited for nothing until a
// deadline would hear too late to go elsewhere. Those behind a refused one move up, so no more are refused than have to be.
func (c *Core) refuseLate(now time.Time) {
	for _, p := range c.sortedPools {
		if !p.backlogged || p.entry.Kind == catalogue.KindService || now.Sub(p.latenessChecked) < latenessCheckPeriod {
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

// hopeless is a queued request with the time that it would still wait.
type lateRequest struct {
	request *Request
	wait    time.Duration
}

// hopeless gives the pool's queued requests that would start too late, walking through them in the order in which they are served.
func (c *Core) lateRequests(p *pool, now time.Time) []lateRequest {
	var found []lateRequest
	ahead := 0
	for _, r := range c.servingOrder(p, now) {
		model := c.modelledStartRate(r, now)
		rate := max(p.startRate(model), model) * latenessFactor // the observed one lags when engines come back
		wait := time.Duration(float64(ahead) / max(rate, minimumStartRate) * float64(time.Second))
		if rate > 0 && !r.spec.Deadline.IsZero() && now.Add(wait).After(r.spec.Deadline) {
			found = append(found, lateRequest{r, wait})
			continue
		}
		ahead++
	}
	return found
}

// inOrder gives the pool's queued requests that no limit holds back about as they will be served: by urgency, and from the workspace
// that will have been served least until then.
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
	for _, t := range queued {
		requests = append(requests, t.request)
	}
	return requests
}
