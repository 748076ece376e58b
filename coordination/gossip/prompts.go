package gossip

import (
	"net/netip"
	"slices"
	"time"
)

// promptExpiry is when the prompts of a use no longer count. An instance of a large fleet reports rarely, so most prompts that it has
// reported have been processed long before its next report says so.
type promptExpiry struct {
	at       time.Time
	from     netip.AddrPort
	endpoint netip.AddrPort
	sequence uint64 // of the report that listed the use
}

// recordPrompts notes when the prompts that a report lists expire.
func (p *Peers) recordPrompts(r *Report, now time.Time) {
	for _, u := range r.Uses {
		if u.Prompts > 0 {
			p.addPromptExpiry(promptExpiry{now.Add(u.promptLifetime()), r.From, u.Endpoint, r.Sequence})
		}
	}
}

// addPromptExpiry inserts an expiry in order of time.
func (p *Peers) addPromptExpiry(e promptExpiry) {
	at := len(p.promptExpiries)
	for at > 0 && p.promptExpiries[at-1].at.After(e.at) {
		at--
	}
	p.promptExpiries = slices.Insert(p.promptExpiries, at, e)
}

// promptLifetime returns how long the engine probably needs for the prompts of a use, which share it with those of other instances.
func (u Use) promptLifetime() time.Duration {
	if u.TokenTime <= 0 {
		return maximumPromptLifetime
	}
	return min(promptMargin*time.Duration(u.Prompts)*u.TokenTime, maximumPromptLifetime)
}

// expirePrompts removes the prompts that have expired from the uses and the totals.
func (p *Peers) expirePrompts(now time.Time) {
	count := 0
	for _, e := range p.promptExpiries {
		if e.at.After(now) {
			break
		}
		count++
		p.expirePrompt(e)
	}
	p.promptExpiries = p.promptExpiries[count:]
}

// expirePrompt removes the prompts of one use unless a later report has listed the use again.
func (p *Peers) expirePrompt(e promptExpiry) {
	k := p.known[e.from]
	if k == nil {
		return
	}
	u, listed := k.uses[e.endpoint]
	if !listed || u.sequence != e.sequence {
		return
	}
	counted := k.counted
	p.uncount(k)
	u.Prompts, u.PromptCount = 0, 0
	k.uses[e.endpoint] = u
	if counted {
		p.count(k)
	}
}
