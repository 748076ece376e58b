package share

import (
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/workspace"
)

// limitLedger is a steward's account of one workspace's limits.
type limitLedger struct {
	ledger[workspace.Demand, workspace.Share]
	limits catalogue.Limits
}

// grant decides the share of the instance at the place.
func (l *limitLedger) grant(place, instances int, now time.Time) workspace.Share {
	running := make([]float64, len(l.holders))
	requests := make([]float64, len(l.holders))
	tokens := make([]float64, len(l.holders))
	free := l.free(place, now)
	for i, h := range l.holders {
		running[i] = float64(h.demand.Running + h.demand.Waiting)
		requests[i] = h.demand.Requests
		tokens[i] = h.demand.Tokens
	}
	share := workspace.Share{
		Concurrency: min(whole(fillAll(float64(l.limits.Concurrency), running))[place], free.Concurrency),
		Requests:    min(fillAll(float64(l.limits.RequestsPerSecond), requests)[place], free.Requests),
		Tokens:      min(fillAll(float64(l.limits.TokensPerSecond), tokens)[place], free.Tokens),
		Until:       now.Add(grantSpan),
	}
	if now.Sub(l.opened) < settleSpan {
		share = l.cautious(place, share, instances, now)
	}
	share.Concurrency = max(share.Concurrency, 0)
	share.Requests, share.Tokens = max(share.Requests, 0), max(share.Tokens, 0)
	l.holders[place].share = share
	return share
}

// free gives what others' unexpired shares leave of the limits.
func (l *limitLedger) free(place int, now time.Time) workspace.Share {
	free := workspace.Share{
		Concurrency: l.limits.Concurrency,
		Requests:    float64(l.limits.RequestsPerSecond),
		Tokens:      float64(l.limits.TokensPerSecond),
	}
	for i, h := range l.holders {
		if i == place || now.After(h.share.Until) {
			continue
		}
		free.Concurrency -= max(h.share.Concurrency, h.demand.Running)
		free.Requests -= h.share.Requests
		free.Tokens -= h.share.Tokens
	}
	return free
}

// cautious bounds a grant while the steward is new and may not know all that is held.
func (l *limitLedger) cautious(place int, share workspace.Share, instances int, now time.Time) workspace.Share {
	part := float64(max(instances, len(l.holders)))
	bound := workspace.Share{
		Concurrency: int(float64(l.limits.Concurrency) / part),
		Requests:    float64(l.limits.RequestsPerSecond) / part,
		Tokens:      float64(l.limits.TokensPerSecond) / part,
	}
	if held := l.holders[place].share; !now.After(held.Until) {
		bound.Concurrency = max(bound.Concurrency, held.Concurrency)
		bound.Requests = max(bound.Requests, held.Requests)
		bound.Tokens = max(bound.Tokens, held.Tokens)
	}
	share.Concurrency = min(share.Concurrency, bound.Concurrency)
	share.Requests = min(share.Requests, bound.Requests)
	share.Tokens = min(share.Tokens, bound.Tokens)
	return share
}
