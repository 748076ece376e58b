package capacity

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/sourcegraph/conc/pool"

	"dogwooddyke/coordination/claim"
	"dogwooddyke/coordination/lease"
)

// Shape of the claim measurements.
const (
	claimWorkers    = 64 // calls that ask at once
	claimTimeout    = 10 * time.Second
	claimPartitions = 4
	claimAppends    = 300 // per second
	claimResult     = 200 // bytes of a call's result
)

// errNotGranted reports a first claim of a key that was not granted.
var errNotGranted = errors.New("claim not granted")

func claimProbes() []Probe {
	const source = "coordination/claim"
	sizes := []int{500, 1000, 2000, 4000}
	return []Probe{
		{Name: "claimBytes", Item: "call claimed and settled, in the log", Unit: "bytes", Source: source, Sizes: sizes, Cost: claimBytes},
		{Name: "claimTime", Item: "call claimed and settled at the steward", Unit: "µs", Source: source, Sizes: sizes, Cost: claimTime},
		{Name: "claimMemory", Item: "key that a steward remembers", Unit: "bytes", Source: source, Sizes: sizes, Cost: claimMemory},
		{Name: "claimAppends", Item: fmt.Sprintf("call claimed and settled by %d callers at once", claimWorkers), Unit: "appends", Source: source, Sizes: sizes, Cost: claimAppendCount},
		{
			Name: "grantBytes", Item: "question for a claim and its answer", Unit: "bytes", Source: source + ", transport/peer", Sizes: sizes,
			Cost: func(ctx context.Context, size int, _ uint64) (float64, error) {
				return exchange(ctx, "claim.grant", echoGrant, claimAsk(0, time.Now().Add(claimTimeout)), size, true)
			},
		},
		{Name: "leaseBytes", Item: "renewal of a lease in the log", Unit: "bytes", Source: "coordination/lease", Sizes: []int{100, 200, 400, 800}, Cost: leaseBytes},
	}
}

// steward is a steward of all partitions.
type stewards struct{}

// Steward returns this instance.
func (stewards) Steward(string) netip.AddrPort { return addressOf(0) }

// Self returns this instance.
func (stewards) Self() netip.AddrPort { return addressOf(0) }

func claimAsk(number int, deadline time.Time) claim.Ask {
	var call uuid.UUID
	binary.BigEndian.PutUint64(call[:], uint64(number)+1)
	return claim.Ask{
		Key: claim.NewKey("workspace", "entry", fmt.Sprint(number)), Body: claim.NewBody(fmt.Append(nil, number)),
		Call: call, Deadline: deadline,
	}
}

// runClaims claims and settles so many keys at one steward.
func runClaims(ctx context.Context, log *ledger, count int) (*claim.Steward, error) {
	settings := claim.Settings{Partitions: claimPartitions, AppendsPerSecond: claimAppends, Window: time.Hour}
	s, err := claim.NewSteward(log, stewards{}, nil, settings)
	if err != nil {
		return nil, err
	}
	workers := pool.New().WithErrors().WithMaxGoroutines(claimWorkers)
	for i := range count {
		workers.Go(func() error { return runClaim(ctx, s, i) })
	}
	return s, workers.Wait()
}

func runClaim(ctx context.Context, s *claim.Steward, number int) error {
	ask := claimAsk(number, time.Now().Add(claimTimeout))
	grant, err := s.Grant(ctx, ask)
	if err != nil {
		return err
	}
	if grant.State != claim.StateGranted {
		return fmt.Errorf("%w: %s", errNotGranted, grant.State)
	}
	_, err = s.Settle(ctx, claim.Settlement{Key: ask.Key, Call: ask.Call, Data: make([]byte, claimResult)})
	return err
}

// withClaims measures around a run of claims.
func withClaims(ctx context.Context, size int, measure func(*ledger, func() error) (float64, error)) (float64, error) {
	log := newLedger()
	var s *claim.Steward
	cost, err := measure(log, func() error {
		var err error
		s, err = runClaims(ctx, log, size)
		return err
	})
	if s != nil {
		s.Drain(ctx)
	}
	return cost, err
}

func claimBytes(ctx context.Context, size int, _ uint64) (float64, error) {
	return withClaims(ctx, size, func(l *ledger, run func() error) (float64, error) {
		err := run()
		_, bytes := l.counts()
		return float64(bytes), err
	})
}

func claimAppendCount(ctx context.Context, size int, _ uint64) (float64, error) {
	return withClaims(ctx, size, func(l *ledger, run func() error) (float64, error) {
		err := run()
		appends, _ := l.counts()
		return float64(appends), err
	})
}

func claimTime(ctx context.Context, size int, _ uint64) (float64, error) {
	return withClaims(ctx, size, func(_ *ledger, run func() error) (float64, error) { return processorCost(run) })
}

func claimMemory(ctx context.Context, size int, _ uint64) (float64, error) {
	return withClaims(ctx, size, func(l *ledger, run func() error) (float64, error) {
		return heapCost(func() (any, error) {
			err := run()
			l.mutex.Lock()
			defer l.mutex.Unlock()
			clear(l.streams) // the log's own memory is the platform's
			return l, err
		})
	})
}

// echoGrant answers as a steward would.
func echoGrant(_ context.Context, _ netip.AddrPort, _ json.RawMessage) (any, error) {
	return claim.Grant{State: claim.StateGranted}, nil
}

func leaseBytes(_ context.Context, size int, _ uint64) (float64, error) {
	total := 0
	for i := range size {
		data, err := lease.Encode(lease.Record{Kind: lease.KindRenew, Holder: addressOf(1), Fence: 123_456, Sequence: uint64(1000 + i)})
		if err != nil {
			return 0, err
		}
		total += len(data)
	}
	return float64(total), nil
}
