package hosted

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/coordination/member"
	"dogwooddyke/coordination/quota"
	"dogwooddyke/state/process"
)

// quotaFleet is what the quota exchange needs to know of the other instances.
type quotaFleet struct {
	gossiper *gossiper
}

// Steward returns the instance that grants the permits of an endpoint: one of the live instances that have run for a while.
func (q quotaFleet) Steward(e process.ID) (netip.AddrPort, bool) {
	settled := q.gossiper.settledInstances(time.Now())
	if len(settled) == 0 {
		return netip.AddrPort{}, false
	}
	return member.Rendezvous(e.String(), settled), true
}

// Size returns the number of live instances, and of those that may run though their reports do not arrive.
func (q quotaFleet) Size() (live, silent int) { return q.gossiper.fleetSize(time.Now()) }

// SendAsk sends an ask for permits to a steward.
func (g *gossiper) SendAsk(to netip.AddrPort, ask []byte) { g.send(to, messageAsk, ask) }

// SendGrant sends the answer to an ask for permits.
func (g *gossiper) SendGrant(to netip.AddrPort, grant []byte) { g.send(to, messageGrant, grant) }

// sendRateLimits sends an instance that has just started the limits of the endpoints that this one is the steward of.
func (g *gossiper) sendRateLimits(to netip.AddrPort, now time.Time) {
	limits := g.instance.quotas.Granted(now)
	if len(limits) == 0 {
		return
	}
	g.mutex.Lock()
	r := g.nextReport(now)
	g.mutex.Unlock()
	r.Partial, r.RateLimits = true, limits
	data, err := gossip.Encode(r)
	if err != nil {
		g.instance.logger.Error("could not encode report", "error", err.Error())
		return
	}
	g.send(to, messageReport, data)
}

// settledInstances returns the live instances that have run for the settle time, with this one if it has.
func (g *gossiper) settledInstances(now time.Time) []netip.AddrPort {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	settled := g.peers.Settled(now)
	if now.Sub(g.startedAt) >= g.peers.SettleTime() {
		settled = append(settled, g.self)
	}
	return settled
}

// fleetSize returns the number of live instances, this one included, and of those that may run though their reports do not arrive.
func (g *gossiper) fleetSize(now time.Time) (live, silent int) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return g.peers.LiveCount(now) + 1, g.peers.SilentCount(now)
}

// updateQuotas passes the known endpoints to the quota exchange; a catalogue must be known, and the router's entries must be up to date.
func (i *Instance) updateQuotas(now time.Time) {
	table := i.table.Load()
	endpoints := i.roster.List()
	known := make([]quota.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		k := quota.Endpoint{Process: process.Of(e.Address, e.ID, e.Born)}
		if s := table.Services[e.Service]; s != nil {
			k.Cold = quota.Cold{PerSecond: s.ColdRate, Until: e.ColdUntil}
		}
		known = append(known, k)
	}
	i.quotas.SetEndpoints(known, now)
}

// newQuotas returns the exchange of permits with the other instances.
func (i *Instance) newQuotas() *quota.Exchange {
	return quota.NewExchange(quota.Config{
		Self:      i.gossiper.self,
		Router:    i.router,
		Fleet:     quotaFleet{i.gossiper},
		Network:   i.gossiper,
		Observer:  i.observer,
		OnNotices: i.gossiper.reportSoon,
	})
}
