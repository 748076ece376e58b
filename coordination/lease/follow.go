package lease

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/internal/wait"
)

// follow reads one stream and appends to it, until this instance is neither candidate nor holder.
func (l *Leases) follow(ctx context.Context, partition int) {
	from := uint64(1)
	for ctx.Err() == nil && !l.over(partition) {
		next, err := l.read(ctx, partition, from)
		switch {
		case err != nil:
			_ = wait.For(ctx, retryInterval)
		case next == from:
			l.act(ctx, partition)
		}
		from = next
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.keepers, partition)
}

// newKeeper numbers its records so that no former process of the address used the same numbers.
func newKeeper(self netip.AddrPort, now time.Time) *Keeper {
	return NewKeeper(self, now, rand.Uint64()>>1)
}

// over reports whether there is no more reason to follow the partition.
func (l *Leases) over(partition int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	rank, wanted := l.ranks[partition]
	candidate := wanted && rank >= 0 && !l.draining
	return !candidate && !l.keepers[partition].Holder()
}

// read waits for records until this instance has something to do.
func (l *Leases) read(ctx context.Context, partition int, from uint64) (uint64, error) {
	until := l.due(partition)
	limited, cancel := context.WithDeadline(ctx, until.Add(readTimeout))
	defer cancel()
	if until.After(time.Now()) {
		defer context.AfterFunc(l.drained, cancel)()
	}
	page, err := l.log.Read(limited, Stream(partition), from, until)
	l.observer.LeaseRead(err)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.keepers[partition].Blind(time.Now())
		return from, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	if page.First > from {
		// A take may be among the lost records: whatever right there was is void.
		l.keepers[partition] = newKeeper(l.members.Self(), now)
	}
	k := l.keepers[partition]
	before := k.Fold()
	for _, x := range page.Records {
		from = x.Offset + 1
		if r, err := Decode(x.Data); err == nil {
			k.Observe(now, x.Offset, r)
		}
	}
	if after := k.Fold(); after.Fence != before.Fence {
		l.observer.LeaseMoved(partition, after.Holder, after.Fence)
	}
	return max(from, page.First), nil
}

func (l *Leases) due(partition int) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := time.Now()
	k := l.keepers[partition]
	due := k.Due(l.rank(partition))
	if l.draining {
		return now
	}
	latest := now.Add(longestWait)
	if k.Fold().Released {
		// Ranks change as the holder that released leaves.
		latest = now.Add(chooseEvery)
	}
	if due.After(latest) {
		return latest
	}
	if due.Before(now) {
		return now
	}
	return due
}

// rank returns this instance's place among the partition's candidates; mu is held.
func (l *Leases) rank(partition int) int {
	if rank, ok := l.ranks[partition]; ok && !l.draining {
		return rank
	}
	return -1
}

// act appends what this instance has to say, if anything; what became of it is read back.
func (l *Leases) act(ctx context.Context, partition int) {
	l.mu.Lock()
	_, wanted := l.wanted[partition]
	l.keepers[partition].Ordering(l.ordering)
	r, ok := l.keepers[partition].Next(time.Now(), l.rank(partition), wanted && !l.draining)
	l.mu.Unlock()
	if !ok {
		return
	}
	data, err := Encode(r)
	if err == nil {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, err = l.log.Append(limited, Stream(partition), data)
	}
	l.observer.LeaseAppended(r.Kind, err)
	if err != nil {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.keepers[partition].Retry(time.Now().Add(retryInterval))
	}
}
