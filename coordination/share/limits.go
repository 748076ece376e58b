package share

import (
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/workspace"
)

// limitLedger is a steward's account of a workspace's limits, for all entries together or for a single one.
type limitLedger struct {
	ledger[workspace.Demand, workspace.Share]
	limits catalogue.Limits // as of the latest ask
}

// grant computes, stores and returns the share of the holder at the index.
func (l *limitLedger) grant(index, instances int, now time.Time) workspace.Share {
	running := make([]float64, len(l.holders))
	requests := make([]float64, len(l.holders))
	tokens := make([]float64, len(l.holders))
	free := l.free(index, now)
	for i, h := range l.holders {
		running[i] = float64(h.demand.Running + h.demand.Waiting)
		requests[i] = h.demand.Requests
		tokens[i] = h.demand.Tokens
	}
	share := workspace.Share{
		Concurrency: min(roundParts(divideAll(float64(l.limits.Concurrency), running))[index], free.Concurrency),
		Requests:    min(divideAll(float64(l.limits.RequestsPerSecond), requests)[index], free.Requests),
		Tokens:      min(divideAll(float64(l.limits.TokensPerSecond), tokens)[index], free.Tokens),
		Until:       now.Add(grantDuration),
	}
	if now.Sub(l.openedAt) < settleDuration {
		share = l.boundWhileNew(index, share, instances, now)
	}
	share.Concurrency = max(share.Concurrency, 0)
	share.Requests, share.Tokens = max(share.Requests, 0), max(share.Tokens, 0)
	l.holders[index].share = share
	return share
}

// free returns what the unexpired shares of the other holders leave of the limits.
func (l *limitLedger) free(index int, now time.Time) workspace.Share {
	free := workspace.Share{
		Concurrency: l.limits.Concurrency,
		Requests:    float64(l.limits.RequestsPerSecond),
		Tokens:      float64(l.limits.TokensPerSecond),
	}
	for i, h := range l.holders {
		if i == index || now.After(h.share.Until) {
			continue
		}
		free.Concurrency -= max(h.share.Concurrency, h.demand.Running)
		free.Requests -= h.share.Requests
		free.Tokens -= h.share.Tokens
	}
	return free
}

// boundWhileNew bounds a grant to an equal part, or to the share already held if that is more, while the steward is new and may not know
// all shares that are held.
func (l *limitLedger) boundWhileNew(index int, share workspace.Share, instances int, now time.Time) workspace.Share {
	count := float64(max(instances, len(l.holders)))
	bound := workspace.Share{
		Concurrency: int(float64(l.limits.Concurrency) / count),
		Requests:    float64(l.limits.RequestsPerSecond) / count,
		Tokens:      float64(l.limits.TokensPerSecond) / count,
	}
	if held := l.holders[index].share; !now.After(held.Until) {
		bound.Concurrency = max(bound.Concurrency, held.Concurrency)
		bound.Requests = max(bound.Requests, held.Requests)
		bound.Tokens = max(bound.Tokens, held.Tokens)
	}
	share.Concurrency = min(share.Concurrency, bound.Concurrency)
	share.Requests = min(share.Requests, bound.Requests)
	share.Tokens = min(share.Tokens, bound.Tokens)
	return share
}
