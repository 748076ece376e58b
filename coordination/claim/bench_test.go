package claim

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/record"
)

const (
	benchMembers    = 7
	benchPartitions = 32
	benchAppends    = 300 // a second, of all streams together
)

// limitedLog refuses appends over the rate.
type limitedLog struct {
	*fakeLog
	mutex  sync.Mutex
	tokens float64
	filled time.Time
	denied int
}

func (l *limitedLog) take() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.filled).Seconds()*benchAppends, benchAppends/10)
	l.filled = now
	if l.tokens < 1 {
		l.denied++
		return false
	}
	l.tokens--
	return true
}

func (l *limitedLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := wait.For(ctx, logLatency); err != nil {
		return 0, record.ErrOutcomeUnknown
	}
	if !l.take() {
		return 0, record.ErrUnavailable
	}
	return l.add(stream, data), nil
}

func (l *limitedLog) Read(ctx context.Context, stream string, from uint64, deadline time.Time) (record.Page, error) {
	return (&logView{log: l.fakeLog}).Read(ctx, stream, from, deadline)
}

// spreadMember gives each partition a steward of its own.
type spreadMember struct{ *member }

func (m spreadMember) Steward(key string) netip.AddrPort {
	number, err := strconv.Atoi(key[len(streamPrefix):])
	if err != nil {
		panic(err)
	}
	return m.fleet.members[number%benchMembers].address
}

func newBenchFleet(b *testing.B, log *limitedLog) *fleet {
	b.Helper()
	f := &fleet{log: log.fakeLog, runs: map[string]int{}}
	settings := Settings{Partitions: benchPartitions, AppendsPerSecond: benchAppends * 9 / 10, Window: time.Hour}
	for i := range benchMembers {
		m := &member{fleet: f, address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i))}
		steward, err := NewSteward(log, spreadMember{m}, nil, settings)
		if err != nil {
			b.Fatal(err)
		}
		m.steward, m.client = steward, NewClient(steward, m)
		f.members = append(f.members, m)
	}
	return f
}

// BenchmarkClaims offers claims at a fixed rate for CLAIMS_SECONDS (default 5) and reports the time to the grant. Each claim
// is settled with a small result, so that half of what the log takes is results.
func BenchmarkClaims(b *testing.B) {
	seconds, err := strconv.Atoi(os.Getenv("CLAIMS_SECONDS"))
	if err != nil {
		seconds = 5
	}
	for _, rate := range []int{300, 1000, 3300, 6000, 12000} {
		b.Run(fmt.Sprintf("offered=%d", rate), func(b *testing.B) {
			for range b.N {
				offerClaims(b, rate, time.Duration(seconds)*time.Second)
			}
		})
	}
}

func offerClaims(b *testing.B, rate int, span time.Duration) {
	log := &limitedLog{fakeLog: newFakeLog(), filled: time.Now()}
	f := newBenchFleet(b, log)
	var group conc.WaitGroup
	var mutex sync.Mutex
	var waits []time.Duration
	refused := 0
	began := time.Now()
	total := int(span.Seconds() * float64(rate))
	for i := range total {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		group.Go(func() {
			asked := time.Now()
			grant, err := f.call(b, i%benchMembers, numbered("k", i), 5*time.Second)
			wait := time.Since(asked) - peerLatency
			mutex.Lock()
			defer mutex.Unlock()
			if err != nil || grant.State != StateGranted {
				refused++
				return
			}
			waits = append(waits, wait)
		})
	}
	group.Wait()
	took := time.Since(began)
	for _, m := range f.members {
		m.client.Wait()
	}
	slices.Sort(waits)
	at := func(share float64) float64 {
		return float64(waits[int(share*float64(len(waits)-1))].Milliseconds())
	}
	b.ReportMetric(float64(len(waits))/took.Seconds(), "claims/s")
	b.ReportMetric(at(0.5), "p50-ms")
	b.ReportMetric(at(0.99), "p99-ms")
	b.ReportMetric(at(1), "max-ms")
	b.ReportMetric(float64(refused), "refused")
	b.ReportMetric(float64(log.appends)/time.Since(began).Seconds(), "appends/s")
	b.ReportMetric(float64(log.denied)/time.Since(began).Seconds(), "denied/s")
	f.close()
}

// BenchmarkTakeOver folds a stream of claims, which is what a new steward does first.
func BenchmarkTakeOver(b *testing.B) {
	var records []record.Record
	writer := testCall(1)
	for i := range 100 {
		e := &entry{Kind: kindGroup, Writer: writer, Sequence: uint64(i + 1)}
		for j := range 1000 {
			e.Claims = append(e.Claims, claim{Key: NewKey("w", "e", numbered("k", i*1000+j)), Call: testCall(2), Body: testBody})
		}
		data, err := encode(e)
		if err != nil {
			b.Fatal(err)
		}
		records = append(records, record.Record{Offset: uint64(i + 1), Data: data})
	}
	b.ResetTimer()
	for range b.N {
		folded := newTable(time.Hour)
		for _, r := range records {
			folded.apply(r)
		}
	}
	b.ReportMetric(float64(100_000*b.N)/b.Elapsed().Seconds(), "claims/s")
}
