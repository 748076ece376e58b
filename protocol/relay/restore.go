package relay

import (
	"net/netip"
	"time"

	"dogwooddyke/coordination/routing"
)

// backup chooses where the memory of a long run is copied to while it runs. A stream that may run again needs none.
func (c *course) backup() netip.AddrPort {
	e := c.request.Engine
	if e == nil || !e.Backups || c.request.Route.Resumable || c.slot.Decision().ExpectedTokens < movedTokens {
		return netip.AddrPort{}
	}
	at, found := c.slot.ReserveBackup(time.Now())
	if !found {
		return netip.AddrPort{}
	}
	return at
}

// restore takes a run whose endpoint broke off to the copy of its memory; nil if there is none.
func (c *course) restore(d *Dispatch) *Dispatch {
	if !d.Backup.IsValid() || c.ctx.Err() != nil || c.result.Restored >= maximumRestores {
		return nil
	}
	ask := c.ask
	ask.PreferredEndpoint = d.Backup
	ask.GeneratedTokens = int(c.passed.Load())
	ask.Exclude = append(ask.Exclude[:len(ask.Exclude):len(ask.Exclude)], d.Place.Address)
	slot, err := c.runner.Router.Place(&ask)
	if err != nil {
		return nil
	}
	at, found := c.runner.Roster.At(c.request.Service, d.Backup)
	if !found || slot.Endpoint() != d.Backup {
		slot.Release(routing.OutcomeCancelled, time.Now())
		return nil
	}
	c.release(routing.OutcomeFailed)
	c.slot = slot
	c.result.Restored++
	next := *d
	next.Place, next.After, next.Copy = at, c.last, &Copy{Source: d.Backup, Handle: c.request.ID}
	return &next
}
