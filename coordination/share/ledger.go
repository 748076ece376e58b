package share

import (
	"net/netip"
	"slices"
	"time"
)

// ending is a share that ends at a time.
type ending interface {
	Ends() time.Time
}

// ledger is a steward's account of who asked for a part of one thing, with demands of one type and shares of another.
type ledger[D any, S ending] struct {
	holders []holder[D, S] // by address
	opened  time.Time
	asked   time.Time
}

// holder is one instance that asked.
type holder[D any, S ending] struct {
	instance netip.AddrPort
	demand   D
	share    S
	seen     time.Time
}

func (l *ledger[D, S]) find(instance netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(l.holders, instance, func(h holder[D, S], a netip.AddrPort) int {
		return h.instance.Compare(a)
	})
}

// note records an instance's demand and what it holds, and returns its place.
func (l *ledger[D, S]) note(instance netip.AddrPort, demand D, held S, now time.Time) int {
	i, found := l.find(instance)
	if !found {
		l.holders = slices.Insert(l.holders, i, holder[D, S]{instance: instance, share: held})
	}
	h := &l.holders[i]
	h.demand, h.seen = demand, now
	if held.Ends().After(h.share.Ends()) {
		h.share = held
	}
	return i
}

func (l *ledger[D, S]) forget(instance netip.AddrPort) {
	if i, found := l.find(instance); found {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

// open prepares the ledger for one more ask: it drops instances that did not ask again and hold nothing any more, and
// tells whether there is room for another one.
func (l *ledger[D, S]) open(now time.Time) bool {
	l.asked = now
	l.holders = slices.DeleteFunc(l.holders, func(h holder[D, S]) bool {
		return now.After(h.share.Ends()) && now.Sub(h.seen) > grantSpan
	})
	return len(l.holders) < maximumHolders
}
