package routing

import "time"

// ejectUnreachable ejects an endpoint at whose address nothing listens. When endpoints disappear one after another while the endpoint list
// can't be read, they appear idle and would attract all requests, which would fail one after another. The limit on the ejected fraction
// doesn't apply: the remaining endpoints serve, and single requests probe whether an ejected one has returned.
func (c *Core) ejectUnreachable(e *endpointState, now time.Time) {
	if !now.Before(e.health.EjectedUntil) {
		c.eject(e, now)
	}
}
