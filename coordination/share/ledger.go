package share

import (
	"net/netip"
	"slices"
	"time"
)

// expiring is a share that is valid until a time.
type expiring interface {
	Ends() time.Time
}

// ledger is a steward's account of the demands for one endpoint or limit, and of the shares granted from it.
type ledger[D any, S expiring] struct {
	holders  []holderRecord[D, S] // sorted by instance address
	openedAt time.Time            // when the steward created the ledger; earlier if it was handed over by a former steward
	askedAt  time.Time            // latest ask of any instance
}

// holderRecord is the latest demand and share of one instance that asked.
type holderRecord[D any, S expiring] struct {
	instance netip.AddrPort
	demand   D
	share    S
	seenAt   time.Time // latest ask of the instance
}

// find returns the index of the instance's record, or the index at which it would be inserted, and whether it is present.
func (l *ledger[D, S]) find(instance netip.AddrPort) (int, bool) {
	return slices.BinarySearchFunc(l.holders, instance, func(h holderRecord[D, S], a netip.AddrPort) int {
		return h.instance.Compare(a)
	})
}

// record stores an instance's demand and the share that it holds, and returns the index of its record.
func (l *ledger[D, S]) record(instance netip.AddrPort, demand D, held S, now time.Time) int {
	i, found := l.find(instance)
	if !found {
		l.holders = slices.Insert(l.holders, i, holderRecord[D, S]{instance: instance, share: held})
	}
	h := &l.holders[i]
	h.demand, h.seenAt = demand, now
	if held.Ends().After(h.share.Ends()) {
		h.share = held
	}
	return i
}

// remove drops the instance, which frees its share.
func (l *ledger[D, S]) remove(instance netip.AddrPort) {
	if i, found := l.find(instance); found {
		l.holders = slices.Delete(l.holders, i, i+1)
	}
}

// prepare is called before each ask is recorded: it drops instances that neither asked recently nor hold an unexpired share, and reports
// whether there is room for another instance.
func (l *ledger[D, S]) prepare(now time.Time) bool {
	l.askedAt = now
	l.holders = slices.DeleteFunc(l.holders, func(h holderRecord[D, S]) bool {
		return now.After(h.share.Ends()) && now.Sub(h.seenAt) > grantDuration
	})
	return len(l.holders) < maximumHolders
}
