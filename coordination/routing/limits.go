package routing

import (
	"cmp"
	"slices"
	"time"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/workspace"
)

// LimitKey identifies the limits of a workspace or, if Entry is set, those of the workspace on that entry.
type LimitKey struct {
	Workspace string
	Entry     string
}

// SetWorkspace adds a workspace or replaces its limits.
func (c *Core) SetWorkspace(w *catalogue.Workspace) {
	c.workspaceLimits[w.Name] = w.Limits
	if l := c.limiters[LimitKey{Workspace: w.Name}]; l != nil {
		l.SetLimits(w.Limits, c.config.Instances)
	}
}

// RemoveWorkspace removes the limits of a workspace.
func (c *Core) RemoveWorkspace(name string) { delete(c.workspaceLimits, name) }

// limitersFor returns the limiters that apply to a request: the workspace's, and the workspace's on the entry.
func (c *Core) limitersFor(spec *RequestSpec) [2]*workspace.Limiter {
	return [2]*workspace.Limiter{
		c.limiter(LimitKey{Workspace: spec.Workspace}, c.workspaceLimits[spec.Workspace]),
		c.limiter(LimitKey{Workspace: spec.Workspace, Entry: spec.Entry}, c.pools[spec.Entry].entry.Limits),
	}
}

func (c *Core) limiter(key LimitKey, limits catalogue.Limits) *workspace.Limiter {
	l := c.limiters[key]
	if l == nil {
		c.evictLimiter()
		l = workspace.NewLimiter(limits, c.config.Instances)
		c.limiters[key] = l
	}
	l.SetLimits(limits, c.config.Instances)
	return l
}

func (c *Core) evictLimiter() {
	if len(c.limiters) < maximumLimiters {
		return
	}
	for key, l := range c.limiters {
		if l.Idle() {
			delete(c.limiters, key)
			return
		}
	}
}

// withinLimits reports whether the limits allow the request to start now.
func (c *Core) withinLimits(r *Request, now time.Time) bool {
	for _, l := range r.limiters {
		if !l.Limited() {
			continue
		}
		if _, ready := l.ReadyAt(now); !ready {
			return false
		}
	}
	return true
}

// limitWait returns how long the limits are expected to delay a new request.
func (c *Core) limitWait(r *Request, now time.Time) time.Duration {
	delay := time.Duration(0)
	ahead := c.queue.workspaceCounts[r.spec.Workspace]
	for _, l := range c.limitersFor(r.spec) {
		if l.Limited() {
			delay = max(delay, l.Wait(ahead, r.holdSeconds(), now))
		}
	}
	return delay
}

// SetLimitShare replaces this instance's share of the limits with the given key.
func (c *Core) SetLimitShare(key LimitKey, share workspace.Share) {
	if l := c.limiters[key]; l != nil {
		l.SetShare(share)
	}
}

// LimitDemands calls visit for each set of limits in use, ordered by key, with this instance's demand.
func (c *Core) LimitDemands(now time.Time, visit func(key LimitKey, limits catalogue.Limits, demand workspace.Demand)) {
	keys := make([]LimitKey, 0, len(c.limiters))
	for key, l := range c.limiters {
		if l.Limited() {
			keys = append(keys, key)
		}
	}
	slices.SortFunc(keys, func(a, b LimitKey) int {
		return cmp.Or(cmp.Compare(a.Workspace, b.Workspace), cmp.Compare(a.Entry, b.Entry))
	})
	for _, key := range keys {
		l := c.limiters[key]
		visit(key, l.Limits(), l.Demand(now))
	}
}
