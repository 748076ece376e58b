package lease

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/member"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/record"
)

// Members is what leases need of the member table.
type Members interface {
	Self() netip.AddrPort
	Live() []netip.AddrPort
}

// Entries tells which entries have engines that take orders.
type Entries interface {
	EngineEntries() []string
}

// Observer counts what leases do; partitions are few.
type Observer interface {
	LeaseAppended(kind Kind, err error)
	LeaseRead(err error)
	LeaseMoved(partition int, holder netip.AddrPort, fence uint64)
}

// Leases keeps the leases of the partitions that this instance is a candidate for.
type Leases struct {
	log      record.Log
	members  Members
	entries  Entries
	observer Observer
	drained  context.Context // ends when all leases are to be released, and with it the wait for records
	drain    context.CancelFunc

	mu       sync.Mutex // guards all below; taken before nothing else
	keepers  map[int]*Keeper
	wanted   map[int][]string // entries of each partition
	ranks    map[int]int
	draining bool
	ordering uint64 // offset of the catalogue that orders go by
}

// New returns leases that follow nothing.
func New(log record.Log, members Members, entries Entries, observer Observer) *Leases {
	l := &Leases{
		log:      log,
		members:  members,
		entries:  entries,
		observer: observer,
		keepers:  map[int]*Keeper{},
	}
	l.drained, l.drain = context.WithCancel(context.Background())
	return l
}

// PartitionOf returns the partition that an entry's lease is in.
func PartitionOf(entry string) int {
	return int(xxhash.Sum64String(entry) % Partitions)
}

// Stream returns the name of a partition's stream.
func Stream(partition int) string { return "leases." + strconv.Itoa(partition) }

// Grant returns the right to order the entry's engines, if this instance has it now.
func (l *Leases) Grant(now time.Time, entry string) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	k, ok := l.keepers[PartitionOf(entry)]
	if !ok || l.draining {
		return Grant{}, false
	}
	return k.Holding(now)
}

// Ordering tells which catalogue's offset this instance's orders go by; the next renewal passes it on.
func (l *Leases) Ordering(catalogue uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ordering = catalogue
}

// Row is what is known here of one entry's lease.
type Row struct {
	Entry  string
	Holder netip.AddrPort
	Fence  uint64
	Until  time.Time // of this instance's own right; zero: it has none
}

// Rows returns the leases of the partitions that are followed here, by entry.
func (l *Leases) Rows() []Row {
	l.mu.Lock()
	defer l.mu.Unlock()
	var rows []Row
	for partition, k := range l.keepers {
		fold := k.Fold()
		if fold.Released || !fold.Holder.IsValid() {
			continue
		}
		for _, e := range l.wanted[partition] {
			rows = append(rows, Row{Entry: e, Holder: fold.Holder, Fence: fold.Fence, Until: k.until})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int { return strings.Compare(a.Entry, b.Entry) })
	return rows
}

// Share returns the part of a rate over the whole fleet that one partition may use.
func (l *Leases) Share(rate float64) float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return rate / float64(max(1, len(l.wanted)))
}

// Drain gives up all leases and returns when they are released, or with the context; orders must have ended.
func (l *Leases) Drain(ctx context.Context) {
	l.mu.Lock()
	l.draining = true
	l.mu.Unlock()
	l.drain()
	for ctx.Err() == nil && l.holds() {
		_ = wait.For(ctx, drainPoll)
	}
}

func (l *Leases) holds() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, k := range l.keepers {
		if k.Holder() {
			return true
		}
	}
	return false
}

// Run follows the streams until the context ends.
func (l *Leases) Run(ctx context.Context) {
	var group conc.WaitGroup
	defer group.Wait()
	// The first lists and heartbeats have to come before ranks mean anything.
	_ = wait.For(ctx, StartDelay)
	for ctx.Err() == nil {
		for _, p := range l.choose() {
			group.Go(func() { l.follow(ctx, p) })
		}
		_ = wait.For(ctx, chooseEvery)
	}
}

// choose notes the ranks and returns the partitions to begin with.
func (l *Leases) choose() []int {
	wanted := map[int][]string{}
	for _, e := range l.entries.EngineEntries() {
		p := PartitionOf(e)
		wanted[p] = append(wanted[p], e)
	}
	live := l.members.Live()
	ranks := map[int]int{}
	for p := range wanted {
		ranks[p] = slices.Index(member.Subset(Stream(p), live, Candidates), l.members.Self())
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.wanted, l.ranks = wanted, ranks
	var begin []int
	for _, p := range slices.Sorted(maps.Keys(ranks)) {
		if _, following := l.keepers[p]; !following && ranks[p] >= 0 && !l.draining {
			l.keepers[p] = newKeeper(l.members.Self(), time.Now())
			begin = append(begin, p)
		}
	}
	return begin
}
