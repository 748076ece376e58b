package hosted

import (
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/state/endpoint"
)

// renewShares updates the shares before they expire, in case that no report arrives.
func (i *Instance) renewShares(now time.Time) {
	if now.Before(i.renewSharesAt) {
		return
	}
	i.renewSharesAt = now.Add(shareLifetime / 2)
	i.updateShares(now)
}

// updateShares sets in the router, for each engine that this instance uses, the load of the other instances and this instance's share,
// which is the capacity that the others do not use.
func (i *Instance) updateShares(now time.Time) {
	table := i.table.Load()
	if table == nil {
		return
	}
	endpoints := i.router.Endpoints()
	uses := i.gossiper.peerUses(endpoints, now)
	services := i.roster.Services()
	loads := make([]routing.PeerLoad, 0, len(endpoints))
	for n, address := range endpoints {
		s := table.Services[services[address]]
		if s == nil || s.Engine == nil {
			continue
		}
		share := endpoint.Share{
			Slots:  max(s.Engine.Slots-uses[n].Running, 0),
			Memory: max(int(usableMemoryFraction*float64(s.Engine.Memory))-uses[n].Memory, 0),
			Spread: 1,
			Until:  now.Add(shareLifetime),
		}
		loads = append(loads, routing.PeerLoad{Endpoint: address, Runs: uses[n].Running, Prompts: uses[n].PromptCount, PromptTokens: uses[n].Prompts, Share: share})
	}
	i.router.SetPeerLoads(loads, now)
}
