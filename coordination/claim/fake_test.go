package claim

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"dogwooddyke/internal/wait"
	"dogwooddyke/state/record"
)

const (
	testPartitions = 2
	logLatency     = 2 * time.Millisecond
	peerLatency    = time.Millisecond
	pageRecords    = 3
)

var (
	testSettings = Settings{Partitions: testPartitions, AppendsPerSecond: 40, Window: time.Hour}
	testBody     = NewBody([]byte("body"))
	errCut       = errors.New("connection cut")
)

// fakeLog holds the streams; an outage refuses everything.
type fakeLog struct {
	mutex   sync.Mutex
	streams map[string][]record.Record
	first   uint64 // oldest offset kept
	outage  bool
	lag     time.Duration // age from which records are read
	appends int
}

func newFakeLog() *fakeLog { return &fakeLog{streams: map[string][]record.Record{}, first: 1} }

func (l *fakeLog) down() bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return l.outage
}

func (l *fakeLog) setOutage(outage bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.outage = outage
}

func (l *fakeLog) setLag(lag time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.lag = lag
}

func (l *fakeLog) add(stream string, data []byte) uint64 {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	offset := uint64(len(l.streams[stream]) + 1)
	l.streams[stream] = append(l.streams[stream], record.Record{Offset: offset, Data: data, Time: time.Now()})
	l.appends++
	return offset
}

// logView is one instance's way to the log; each queued fault strikes one append.
type logView struct {
	log    *fakeLog
	mutex  sync.Mutex
	faults []string
}

func (v *logView) fault(kind string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	v.faults = append(v.faults, kind)
}

func (v *logView) struck() string {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	if len(v.faults) == 0 {
		return ""
	}
	kind := v.faults[0]
	v.faults = v.faults[1:]
	return kind
}

func (v *logView) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	if err := wait.For(ctx, logLatency); err != nil {
		return 0, record.ErrOutcomeUnknown
	}
	if v.log.down() {
		return 0, record.ErrUnavailable
	}
	switch v.struck() {
	case "ackLost":
		v.log.add(stream, data)
		return 0, record.ErrOutcomeUnknown
	case "lost":
		return 0, record.ErrOutcomeUnknown
	case "lostInOutage": // an outage begins, and the steward can't look for the record
		v.log.setOutage(true)
		return 0, record.ErrOutcomeUnknown
	case "refused":
		return 0, record.ErrUnavailable
	case "late": // the writer is paused; its append arrives long after
		time.Sleep(3 * time.Second)
	case "copied": // arrives twice, the second time late and unknown to the writer
		time.AfterFunc(4*time.Second, func() { v.log.add(stream, data) })
	}
	return v.log.add(stream, data), nil
}

func (v *logView) Read(ctx context.Context, stream string, from uint64, _ time.Time) (record.Page, error) {
	if err := wait.For(ctx, logLatency); err != nil || v.log.down() {
		return record.Page{}, record.ErrUnavailable
	}
	v.log.mutex.Lock()
	defer v.log.mutex.Unlock()
	all := v.log.streams[stream]
	from = max(from, v.log.first)
	page := record.Page{First: v.log.first, Next: from}
	for page.Next <= uint64(len(all)) && len(page.Records) < pageRecords {
		r := all[page.Next-1]
		if time.Since(r.Time) < v.log.lag {
			break
		}
		page.Records = append(page.Records, r)
		page.Next++
	}
	return page, nil
}

// member is one instance of a fleet.
type member struct {
	fleet   *fleet
	address netip.AddrPort
	log     *logView
	steward *Steward
	client  *Client
	mutex   sync.Mutex
	view    int  // who it holds to be the steward of all partitions
	cut     bool // answers of others to it are lost
}

func (m *member) Self() netip.AddrPort { return m.address }

func (m *member) Steward(string) netip.AddrPort {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return m.fleet.members[m.view].address
}

func (m *member) set(view int, cut bool) {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	m.view, m.cut = view, cut
}

func (m *member) Call(ctx context.Context, to netip.AddrPort, method string, params, result any) error {
	if err := wait.For(ctx, peerLatency); err != nil {
		return err
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := m.fleet.serve(ctx, to, method, raw)
	if err != nil {
		return err
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if m.cut {
		return errCut
	}
	text, err := json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(text, result)
}

// fleet is a set of instances before one log, and the service that counts the runs of each key.
type fleet struct {
	log     *fakeLog
	members []*member
	mutex   sync.Mutex
	runs    map[string]int
}

func newFleet(t testing.TB, count int) *fleet {
	t.Helper()
	f := &fleet{log: newFakeLog(), runs: map[string]int{}}
	for i := range count {
		m := &member{
			fleet:   f,
			address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(7000+i)),
			log:     &logView{log: f.log},
		}
		steward, err := NewSteward(m.log, m, nil, testSettings)
		if err != nil {
			t.Fatal(err)
		}
		m.steward = steward
		m.client = NewClient(steward, m)
		f.members = append(f.members, m)
	}
	return f
}

func (f *fleet) serve(ctx context.Context, to netip.AddrPort, method string, params json.RawMessage) (any, error) {
	for _, m := range f.members {
		if m.address != to {
			continue
		}
		if method == MethodGrant {
			return m.steward.ServeGrant(ctx, to, params)
		}
		return m.steward.ServeSettle(ctx, to, params)
	}
	return nil, errCut
}

// look makes all instances hold one of them to be the steward.
func (f *fleet) look(view int) {
	for _, m := range f.members {
		m.set(view, false)
	}
}

func (f *fleet) close() {
	for _, m := range f.members {
		m.client.Wait()
	}
	for _, m := range f.members {
		m.steward.stop()
		m.steward.workers.Wait()
	}
}

// call claims a key at an instance, runs the service if it may, and settles.
func (f *fleet) call(t testing.TB, at int, key string, timeout time.Duration) (Grant, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	name := NewKey("anglers", "soundings", key)
	grant, call, err := f.members[at].client.Claim(ctx, name, testBody, time.Time{})
	if err != nil || grant.State != StateGranted {
		return grant, err
	}
	f.run(key)
	time.Sleep(peerLatency)
	f.members[at].client.Settle(Settlement{Key: name, Call: call, Data: []byte("result of " + key)})
	return grant, nil
}

func (f *fleet) run(key string) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.runs[key]++
}

func (f *fleet) ran(key string) int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.runs[key]
}

// expectState asserts the state that a call of the key gets.
func (f *fleet) expectState(t testing.TB, at int, key string, want State) {
	t.Helper()
	is := is.New(t)
	grant, err := f.call(t, at, key, 30*time.Second)
	is.NoErr(err)
	is.Equal(grant.State, want)
	if want == StateSettled {
		is.Equal(string(grant.Data), "result of "+key)
	}
}

func numbered(name string, i int) string { return fmt.Sprint(name, i) }

func testCall(i int) uuid.UUID { return uuid.UUID{byte(i)} }
