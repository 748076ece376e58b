package claim

import (
	"context"

	"github.com/google/uuid"
)

// queue holds what waits for the partition's next record.
type queue struct {
	claims      []*claiming
	settlements []*settling
}

// settling is the end of a call that waits for its record.
type settling struct {
	settlement Settlement
	done       chan bool // one place: true when it is in the log
}

// batch is what one record carries.
type batch struct {
	claims      []*claiming
	settlements []*settling
}

func (q *queue) empty() bool { return len(q.claims) == 0 && len(q.settlements) == 0 }

// settle takes the end of a call and waits until it is in the log; false means that another instance is the steward.
func (p *partition) settle(ctx context.Context, settlement Settlement) (bool, error) {
	s := &settling{settlement: settlement, done: make(chan bool, 1)}
	p.lock.Lock()
	if !p.ensure() || len(p.queue.settlements) >= maximumResults {
		p.lock.Unlock()
		return false, nil
	}
	p.queue.settlements = append(p.queue.settlements, s)
	if p.phase == phaseOpen {
		p.announce(settlement)
	}
	p.rouse()
	p.lock.Unlock()
	select {
	case taken := <-s.done:
		return taken, nil
	case <-ctx.Done():
		return false, ctx.Err()
	}
}

// announce tells those who wait for a call's end, before it is in the log. The lock is held.
func (p *partition) announce(s Settlement) {
	if !s.Abandoned {
		if h := p.table.claims[s.Key]; h != nil && h.call == s.Call {
			p.answerWaiting(s.Key, s.Data)
		}
		return
	}
	t := p.taken[s.Key]
	if t != nil && t.claim != nil && t.claim.claim.Call == s.Call {
		t.claim.asker = nil // freed when its record is there
		return
	}
	if h := p.table.claims[s.Key]; h != nil && h.call == s.Call && h.progress == progressRunning {
		p.tentative(s.Key).freed = s.Call
		p.reconsiderWaiting(s.Key)
	}
}

// draw moves what fits from the queue into a batch; claims that nobody waits for are left out. The lock is held.
func (p *partition) draw() *batch {
	b := &batch{}
	bytes := 0
	for len(p.queue.settlements) > 0 && bytes < maximumGroupBytes && len(b.settlements) < maximumGroupClaims {
		s := p.queue.settlements[0]
		p.queue.settlements = p.queue.settlements[1:]
		b.settlements = append(b.settlements, s)
		bytes += len(s.settlement.Data)
	}
	for len(p.queue.claims) > 0 && len(b.claims) < maximumGroupClaims {
		c := p.queue.claims[0]
		p.queue.claims = p.queue.claims[1:]
		if c.wanted() {
			b.claims = append(b.claims, c)
			continue
		}
		p.taken[c.claim.Key].claim = nil
		p.tidy(c.claim.Key)
		p.reconsiderWaiting(c.claim.Key)
	}
	return b
}

// wanted reports whether somebody waits for the claim.
func (c *claiming) wanted() bool { return c.asker != nil && !c.asker.gone }

// putBack returns a batch that certainly is not in the log to the head of the queue. The lock is held.
func (p *partition) putBack(b *batch) {
	p.queue.claims = append(b.claims, p.queue.claims...)
	p.queue.settlements = append(b.settlements, p.queue.settlements...)
}

// tidy forgets a key without changes. The lock is held.
func (p *partition) tidy(key Digest) {
	if t := p.taken[key]; t != nil && t.claim == nil && t.freed == uuid.Nil {
		delete(p.taken, key)
	}
}

// resolve answers for a batch from what the table has of it; a deposed steward's settlements may be void. The lock is held.
func (p *partition) resolve(b *batch, deposed bool) {
	for _, s := range b.settlements {
		p.resolveSettlement(s)
		s.done <- !deposed || p.ended(&s.settlement)
	}
	for _, c := range b.claims {
		p.resolveClaim(c)
	}
}

func (p *partition) resolveSettlement(s *settling) {
	key := s.settlement.Key
	if t := p.taken[key]; t != nil && t.freed == s.settlement.Call {
		t.freed = uuid.Nil
		p.tidy(key)
	}
	if h := p.table.claims[key]; h != nil && h.progress == progressSettled && h.call == s.settlement.Call {
		p.answerWaiting(key, s.settlement.Data)
	}
	if s.settlement.Abandoned {
		p.reconsiderWaiting(key)
	}
}

// ended reports whether the table has the end of a call. The lock is held.
func (p *partition) ended(s *Settlement) bool {
	h := p.table.claims[s.Key]
	return h != nil && h.call == s.Call && h.progress != progressRunning
}

// resolveClaim gives the key to the call if the table does, and frees it again if nobody waits for it any more.
func (p *partition) resolveClaim(c *claiming) {
	key := c.claim.Key
	p.taken[key].claim = nil
	p.tidy(key)
	granted := p.table.claims[key] != nil && p.table.claims[key].call == c.claim.Call
	switch {
	case granted && c.wanted():
		c.asker.answer <- answer{grant: Grant{State: StateGranted}}
	case granted:
		p.free(c)
	case c.wanted():
		p.consider(c.asker)
	}
}

// free abandons a claim whose caller was told that it has none. The lock is held.
func (p *partition) free(c *claiming) {
	s := Settlement{Key: c.claim.Key, Call: c.claim.Call, Abandoned: true}
	p.queue.settlements = append(p.queue.settlements, &settling{settlement: s, done: make(chan bool, 1)})
	p.announce(s)
	p.rouse()
}
