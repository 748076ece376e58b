package routing

import "time"

// absent takes an endpoint out at whose address nothing listens. It answers the load pattern of endpoints that vanish one after the
// other while the list of them can't be read: idle as they seem, they would draw all requests, one failure after another. However
// many they are, the rest serves; one request at a time tries whether such an endpoint is back.
func (c *Core) absent(a *account, now time.Time) {
	if !now.Before(a.health.EjectedUntil) {
		c.eject(a, now)
	}
}
