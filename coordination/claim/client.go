package claim

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
)

// Peers calls methods of other instances.
type Peers interface {
	Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error
}

// Client asks the stewards of keys, which may be other instances or this one; it is safe for concurrent use.
type Client struct {
	steward    *Steward
	peers      Peers
	background conc.WaitGroup
	lock       sync.Mutex // guards settling
	settling   int
}

// NewClient returns a client whose own partitions are asked directly.
func NewClient(steward *Steward, peers Peers) *Client {
	return &Client{steward: steward, peers: peers}
}

// tries are the calls by which one claim was asked for; those before the last one were abandoned and never ran.
type tries []uuid.UUID

// has reports whether the key is held by one of the tries, which does not make the call a repeat.
func (t tries) has(grant Grant) bool {
	return grant.State == StateRunning && slices.Contains(t, grant.Holder)
}

// Claim asks for the right to run a call under a key, until the context ends; each try is a call of its own, and those that
// came to nothing are abandoned. The id is for Settle; ErrNoClaim means that no try may run.
func (c *Client) Claim(ctx context.Context, key, body Digest, born time.Time) (Grant, uuid.UUID, error) {
	delay := retryMinimum
	patience := time.Now().Add(repeatWait)
	var own tries
	for {
		call := uuid.New()
		own = append(own, call)
		grant, err := c.try(ctx, Ask{Key: key, Call: call, Body: body, Born: born})
		if err == nil && grant.State == StateGranted && ctx.Err() == nil {
			return grant, call, nil
		}
		if err != nil || grant.State == StateGranted {
			c.Settle(Settlement{Key: key, Call: call, Abandoned: true})
		}
		repeated := err == nil && !own.has(grant)
		if repeated && c.final(grant.State, patience) {
			return grant, call, nil
		}
		if ctx.Err() != nil || wait.For(ctx, delay) != nil {
			return c.atDeadline(grant, repeated)
		}
		delay = min(2*delay, retryMaximum)
	}
}

// final reports whether asking again would change nothing.
func (c *Client) final(state State, patience time.Time) bool {
	switch state {
	case StateMoved, StateFull, StateGranted:
		return false
	case StateRunning:
		return time.Now().After(patience)
	}
	return true
}

// atDeadline gives what the last try told: a repeat whose first call runs, or that there is no claim.
func (c *Client) atDeadline(grant Grant, repeated bool) (Grant, uuid.UUID, error) {
	if repeated && grant.State == StateRunning {
		return grant, uuid.Nil, nil
	}
	return Grant{}, uuid.Nil, ErrNoClaim
}

// try asks the steward once.
func (c *Client) try(ctx context.Context, ask Ask) (Grant, error) {
	limit := time.Now().Add(grantTimeout)
	if deadline, ok := ctx.Deadline(); ok && deadline.Before(limit) {
		limit = deadline
	}
	bounded, cancel := context.WithDeadline(ctx, limit)
	defer cancel()
	// The steward answers a little earlier, so that its answer arrives in time.
	ask.Deadline = limit.Add(-min(answerMargin, time.Until(limit)/4))
	to := c.steward.stewards.Steward(c.stream(ask.Key))
	if to == c.steward.stewards.Self() {
		early, stop := context.WithDeadline(bounded, ask.Deadline)
		defer stop()
		return c.steward.Grant(early, ask)
	}
	var grant Grant
	err := c.peers.Call(bounded, to, MethodGrant, ask, &grant)
	return grant, err
}

func (c *Client) stream(key Digest) string {
	return streamOf(partitionOf(key, c.steward.settings.Partitions))
}

// Settle hands the end of a call on to the steward in the background, until it is in the log or the horizon is reached.
func (c *Client) Settle(settlement Settlement) {
	c.lock.Lock()
	defer c.lock.Unlock()
	if c.settling >= maximumSettling || len(settlement.Data) > MaximumResultBytes {
		c.steward.observer.Dropped()
		return
	}
	c.settling++
	c.background.Go(func() {
		if !c.settle(settlement) {
			c.steward.observer.Dropped()
		}
		c.lock.Lock()
		defer c.lock.Unlock()
		c.settling--
	})
}

// settle tries until the steward has the end of the call in the log.
func (c *Client) settle(settlement Settlement) bool {
	ctx, cancel := context.WithTimeout(context.Background(), settleHorizon)
	defer cancel()
	delay := retryMinimum
	for {
		if taken, err := c.settleOnce(ctx, settlement); err == nil && taken {
			return true
		}
		if wait.For(ctx, delay) != nil {
			return false
		}
		delay = min(2*delay, retryMaximum)
	}
}

func (c *Client) settleOnce(ctx context.Context, settlement Settlement) (bool, error) {
	bounded, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	to := c.steward.stewards.Steward(c.stream(settlement.Key))
	if to == c.steward.stewards.Self() {
		return c.steward.Settle(bounded, settlement)
	}
	var answer settled
	err := c.peers.Call(bounded, to, MethodSettle, settlement, &answer)
	return !answer.Moved, err
}

// Wait returns when no result is on its way.
func (c *Client) Wait() { c.background.Wait() }
