package lease

import (
	"net/netip"
	"time"
)

// Grant is the right to give orders.
type Grant struct {
	Fence uint64
	From  time.Time // earliest order to an engine that ignores fencing numbers: the former holder's right is over
	Until time.Time // end of the right, unless it is renewed

	Catalogue uint64 // orders must not go by an older catalogue than this offset's
}

// Keeper is one instance's view of one partition's lease; time is passed in, and it is not safe for concurrent use.
type Keeper struct {
	self     netip.AddrPort
	fold     Fold
	sequence uint64
	sent     []sending // own records that may still be read back
	seenAt   time.Time // of the last record that counts, or of the start
	from     time.Time // see Grant
	until    time.Time // see Grant
	actAt    time.Time // earliest next own record
	blindAt  time.Time // last time that the log could not be read

	catalogue uint64 // offset that this instance's orders go by
}

// sending is an own record and when its append began.
type sending struct {
	sequence uint64
	at       time.Time
}

// NewKeeper returns a keeper that has read nothing; whatever lease there is may be as young as now.
func NewKeeper(self netip.AddrPort, now time.Time, sequence uint64) *Keeper {
	return &Keeper{self: self, seenAt: now, sequence: sequence}
}

// Fold returns what the records say.
func (k *Keeper) Fold() Fold { return k.fold }

// Observe folds a record that was read at the time.
func (k *Keeper) Observe(now time.Time, offset uint64, r Record) {
	former := k.fold
	if !k.fold.Apply(offset, r) {
		return
	}
	k.seenAt = now
	if k.fold.Holder != k.self {
		k.until = time.Time{}
		return
	}
	at, own := k.take(r.Sequence)
	switch {
	case r.Kind == KindRelease || !own:
		// A take that this process does not know is a former process's on the same address.
		k.until = time.Time{}
	case r.Kind == KindTake:
		k.from = now.Add(WaitOut)
		if former.Released || (former.Fence == 0 && offset == 1) {
			k.from = now
		}
		k.until = at.Add(Term)
	case at.Add(Term).After(k.until):
		k.until = at.Add(Term)
	}
}

// take returns when the own record was sent.
func (k *Keeper) take(sequence uint64) (time.Time, bool) {
	for _, s := range k.sent {
		if s.sequence == sequence {
			return s.at, true
		}
	}
	return time.Time{}, false
}

// Holding returns the grant if this instance may give orders now.
func (k *Keeper) Holding(now time.Time) (Grant, bool) {
	if k.fold.Holder != k.self || k.fold.Released || !now.Before(k.until) {
		return Grant{}, false
	}
	return Grant{Fence: k.fold.Fence, From: k.from, Until: k.until, Catalogue: k.fold.Catalogue}, true
}

// Holder tells whether the records name this process as the holder, though its right may have lapsed.
func (k *Keeper) Holder() bool {
	return k.fold.Holder == k.self && !k.fold.Released && !k.until.IsZero()
}

// Ordering tells which catalogue's offset this instance's orders go by.
func (k *Keeper) Ordering(catalogue uint64) { k.catalogue = catalogue }

// Next returns the record that this instance should append now, if any; rank is its place among the candidates, negative if it is none.
func (k *Keeper) Next(now time.Time, rank int, wanted bool) (Record, bool) {
	switch {
	case k.Holder() && !wanted:
		k.until = time.Time{}
		return k.record(now, KindRelease, RetryInterval), true
	case now.Before(k.actAt):
		return Record{}, false
	case k.Holder():
		// After a lapse too: the renewal counts only if nobody has taken the lease.
		return k.record(now, KindRenew, RenewInterval), true
	case wanted && rank >= 0 && !now.Before(k.lapse(rank)):
		return k.record(now, KindTake, RetryInterval), true
	}
	return Record{}, false
}

// Due returns when Next may have something to say, if nothing is read before.
func (k *Keeper) Due(rank int) time.Time {
	due := k.actAt
	if !k.Holder() && rank >= 0 {
		if lapse := k.lapse(rank); lapse.After(due) {
			due = lapse
		}
	}
	return due
}

// lapse returns when this candidate may take the lease; after an outage of the log the holder gets time to renew first.
func (k *Keeper) lapse(rank int) time.Time {
	delay := time.Duration(rank) * RankDelay
	lapse := k.seenAt
	if !k.fold.Released && k.fold.Fence != 0 {
		lapse = k.seenAt.Add(WaitOut)
	}
	if seeing := k.blindAt.Add(RenewInterval); !k.blindAt.IsZero() && seeing.After(lapse) {
		lapse = seeing
	}
	return lapse.Add(delay)
}

// Blind tells that the log could not be read.
func (k *Keeper) Blind(now time.Time) { k.blindAt = now }

func (k *Keeper) record(now time.Time, kind Kind, pause time.Duration) Record {
	k.sequence++
	k.actAt = now.Add(pause)
	k.sent = append(k.sent, sending{sequence: k.sequence, at: now})
	if len(k.sent) > maximumSent {
		k.sent = k.sent[1:]
	}
	r := Record{Kind: kind, Holder: k.self, Sequence: k.sequence, Catalogue: k.catalogue}
	if kind != KindTake {
		r.Fence = k.fold.Fence
	}
	return r
}

// Retry makes the next record due at the time, because the last one was not appended.
func (k *Keeper) Retry(at time.Time) {
	if at.Before(k.actAt) {
		k.actAt = at
	}
}
