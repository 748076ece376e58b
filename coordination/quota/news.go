package quota

import (
	"math"
	"net/netip"
	"time"

	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
)

// Learn records what an answer of an endpoint says of its limit. A notable change is reported to all instances.
func (x *Exchange) Learn(n ratelimit.News, now time.Time) {
	if x.apply(n, "answer", true, now) {
		x.config.OnNotices()
	}
}

// Receive records limits that another instance has reported.
func (x *Exchange) Receive(notices []Notice, from netip.AddrPort, now time.Time) {
	for _, n := range notices {
		x.apply(n.News(now), from.String(), false, now)
	}
}

// apply records news, and reports whether they are a notable change of an endpoint's limit. With report set, the next reports carry such a
// change.
func (x *Exchange) apply(n ratelimit.News, source string, report bool, now time.Time) bool {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return x.record(n, source, report, now)
}

// record is apply for a caller that holds the mutex. News of an endpoint that this instance does not know yet are kept for later: one that
// starts is told the limits before it has read the endpoint list.
func (x *Exchange) record(n ratelimit.News, source string, report bool, now time.Time) bool {
	if !x.endpoints[n.Endpoint] {
		if known, found := x.early[n.Endpoint]; len(x.early) < maximumAccounts && (!found || n.At.After(known.At)) {
			x.early[n.Endpoint] = n
		}
		return false
	}
	if !x.limits.Apply(n) {
		return false
	}
	x.setInRouter(n.Endpoint, now)
	known := x.reported[n.Endpoint]
	if known == nil {
		known = &notice{}
		x.reported[n.Endpoint] = known
	}
	if known.limit.Named == n.Limit.Named && math.Abs(known.limit.PerSecond-n.Limit.PerSecond) <= notableChange*known.limit.PerSecond {
		return false
	}
	known.limit = n.Limit
	if report {
		known.reportsLeft = newsRepeats
	}
	x.config.Observer.RateLimitChanged(n, source)
	return true
}

// setInRouter passes what is known of an endpoint's limit to the router; the caller holds the mutex.
func (x *Exchange) setInRouter(e process.ID, now time.Time) {
	if x.current[e.Address] != e.Start {
		return
	}
	limit, _ := x.limitOf(e, now)
	if !limit.Named && !x.limited[e.Address] {
		return
	}
	x.limited[e.Address] = limit.Named
	x.config.Router.SetRateLimit(e.Address, limit.Named, max(limit.PerSecond, minimumRate)/float64(max(x.live, 1)), now)
}

// Limit returns the limit of an endpoint.
func (x *Exchange) Limit(e process.ID, now time.Time) ratelimit.Limit {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	limit, _ := x.limitOf(e, now)
	return limit
}

// LimitedEndpoints returns the number of known endpoints that name a limit.
func (x *Exchange) LimitedEndpoints() int {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	return len(x.limits.Named())
}

// Notices returns the limits for this instance's next report: those that have changed lately and, in a full report, those that it grants
// permits for, in case that others have missed the change.
func (x *Exchange) Notices(full bool, now time.Time) []Notice {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var notices []Notice
	for e, r := range x.reported {
		changed := r.reportsLeft > 0
		if len(notices) == maximumNews || !changed && !(full && x.grants(e, now)) {
			continue
		}
		if changed {
			r.reportsLeft--
		}
		if news, found := x.limits.Latest(e); found {
			notices = append(notices, noticeOf(news, now))
		}
	}
	return notices
}

// Granted returns the limits that this instance grants permits for.
func (x *Exchange) Granted(now time.Time) []Notice {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var notices []Notice
	for _, news := range x.limits.Named() {
		if len(notices) < maximumNews && x.grants(news.Endpoint, now) {
			notices = append(notices, noticeOf(news, now))
		}
	}
	return notices
}

// grants reports whether this instance has lately granted permits of an endpoint that limits its rate; the caller holds the mutex.
func (x *Exchange) grants(e process.ID, now time.Time) bool {
	return x.limits.Limit(e).Named && x.steward.Grants(e, now)
}
