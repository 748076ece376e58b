package relay

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/handover"
	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
	"dogwooddyke/state/route"
)

// fakeEventPause is the time between two events of a fake run.
const fakeEventPause = 20 * time.Millisecond

// fakeFailure is the body of a fake endpoint's answer with an error status.
const fakeFailure = "failed"

// framing says how the end of an answer is marked.
type framing int

// The framings of a fake endpoint's streams.
const (
	framedByChunks framing = iota // an end without the last chunk is an error
	framedByLength                // likewise an end before the length
	unframed                      // the end of the connection is the end of the answer
)

func (f framing) String() string { return [...]string{"chunks", "length", "no framing"}[f] }

// fakeRun is a run of the request at one endpoint; its stream ends when the run is stopped.
type fakeRun struct {
	stopped chan struct{}
	once    sync.Once
	made    int64 // events until now
	kept    bool  // it was stopped by a last copy, and its endpoint keeps its memory
}

func (f *fakeRun) stop() { f.once.Do(func() { close(f.stopped) }) }

// fakeSend is a dispatch that reached an endpoint.
type fakeSend struct {
	at       time.Time
	endpoint netip.AddrPort
	after    int64
	copy     *Copy
	working  bool // another endpoint worked on the request then
}

// fakeFleet is the endpoints of one service. Each runs the request of the test, whose events have the numbers from 1 to events.
type fakeFleet struct {
	is        *is.I
	framing   framing
	events    int64
	notices   map[netip.AddrPort]*fakeNotice
	noBackups bool            // endpoints take none
	plain     bool            // the service has no model engines
	closing   context.Context // done when the instance closes; nil: never
	ending    context.Context // done when it ends answers that have begun; nil: never
	closed    context.Context // done when it closes callers' connections; nil: never

	// move answers a call that copies a run; stop ends the run and its stream. By default the run is stopped by the last copy, which succeeds.
	move func(ctx context.Context, from, to netip.AddrPort, last bool, stop func()) (Copy, error)
	// breaks says after which event the connection of a stream closes, and whether its endpoint goes on working; zero: never.
	breaks func(address netip.AddrPort) (after int64, worksOn bool)
	// silences says after which event the connection of a stream carries nothing any more; zero: never.
	silences func(address netip.AddrPort) int64
	// returns says how long after that the connection carries everything that was made; zero: never.
	returns func(address netip.AddrPort) time.Duration
	// loses says whether an endpoint runs a request and its answer is lost.
	loses func(address netip.AddrPort) bool
	// fails says whether an endpoint answers with an error status.
	fails func(address netip.AddrPort) bool
	// refusesLate says whether an endpoint refuses to run a request after its delay.
	refusesLate func(address netip.AddrPort) bool
	// hides says whether the connection to an endpoint goes silent before the head of the answer.
	hides func(address netip.AddrPort) bool
	// delays says how long an endpoint works before the head of its answer.
	delays func(address netip.AddrPort) time.Duration
	// pauses says after which event an endpoint makes none for a while; zero: never.
	pauses  func(address netip.AddrPort) (after int64, pause time.Duration)
	crashed func(address netip.AddrPort) bool
	// refuses returns the error with which a dispatch ends that its endpoint does not run; nil if it takes the dispatch.
	refuses func(d *Dispatch) error
	// places says why no endpoint has a slot for a run that is to continue; nil if one may have.
	places func(spec *routing.RequestSpec) error
	// copiesAgain says that endpoints which have stopped a run copy its memory again.
	copiesAgain bool
	evacuated   map[netip.AddrPort]bool
	gone        map[netip.AddrPort]bool // endpoints that are not in the roster any more
	versions    map[netip.AddrPort]string

	mutex    sync.Mutex
	first    netip.AddrPort // see onlyFirst
	runs     map[netip.AddrPort]*fakeRun
	sends    []fakeSend
	memories map[string]*fakeMemory  // by handle
	backups  map[netip.AddrPort]bool // endpoints that have a backup
	router   *fakeRouter
	failed   []error // causes of failed dispatches, as observed
	decided  []bool  // whether each failed dispatch was followed by another one
}

// fakeNotice is a notice that an endpoint leaves.
type fakeNotice struct {
	done chan struct{}
	at   time.Time
}

func (f *fakeNotice) Done() <-chan struct{} { return f.done }

func (f *fakeNotice) At() time.Time {
	select {
	case <-f.done:
		return f.at
	default:
		return time.Time{}
	}
}

func fakeAddress(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 80)
}

func newFakeFleet(t *testing.T, endpoints byte, events int64) *fakeFleet {
	f := &fakeFleet{
		is: is.New(t), events: events, notices: make(map[netip.AddrPort]*fakeNotice), runs: make(map[netip.AddrPort]*fakeRun),
		memories: make(map[string]*fakeMemory), backups: make(map[netip.AddrPort]bool), evacuated: make(map[netip.AddrPort]bool), gone: make(map[netip.AddrPort]bool),
	}
	for n := range endpoints {
		f.notices[fakeAddress(n+1)] = &fakeNotice{done: make(chan struct{})}
	}
	return f
}

// notice has an endpoint announce that it leaves.
func (f *fakeFleet) notice(address netip.AddrPort) {
	if f.router != nil {
		f.router.SetLeaving(address, true, time.Now())
	}
	f.notices[address].at = time.Now()
	close(f.notices[address].done)
}

// runner returns a runner before the endpoints.
func (f *fakeFleet) runner() *Runner {
	router := routing.New(routing.Config{Random: rand.New(rand.NewPCG(1, 2))})
	entry := &catalogue.Entry{Name: "s", Kind: catalogue.KindEngine}
	if f.plain {
		entry.Kind = catalogue.KindService
	}
	for n := range len(f.notices) {
		entry.Endpoints = append(entry.Endpoints, catalogue.Endpoint{Address: fakeAddress(byte(n + 1)), Version: f.versions[fakeAddress(byte(n+1))]})
	}
	router.SetEntry(entry, time.Now())
	for _, e := range entry.Endpoints {
		router.SetShare(e.Address, endpoint.Share{Slots: 64, Memory: 1 << 20, Spread: 1, Until: time.Now().Add(time.Hour)}, time.Now())
	}
	for _, c := range []*context.Context{&f.closing, &f.ending, &f.closed} {
		if *c == nil {
			*c = context.Background()
		}
	}
	f.router = &fakeRouter{router, f}
	return &Runner{
		Closing: f.closing, Ending: f.ending, Closed: f.closed, Endpoints: f, Router: f.router, Roster: f, Budgets: &Budgets{}, MoveScheduler: f, Observer: f, Drain: 2 * time.Second,
		RetryLimits: func() RetryLimits { return RetryLimits{Ratio: 1, Extra: 50, Window: 10 * time.Second, Instances: 1} },
	}
}

// request returns a request for a stream.
func (f *fakeFleet) request(resumable bool) *Request {
	attempts := 1
	if resumable {
		attempts = 3
	}
	now := time.Now()
	engine := &route.Engine{Stride: 4, Moves: true, Backups: !f.noBackups}
	if f.plain {
		engine = nil
	}
	return &Request{
		ID: "r-1", Method: http.MethodPost, Target: "/x", Service: "s", Arrived: now, Deadline: now.Add(40 * time.Second), PromptTokens: 100, MaximumTokens: 4000,
		Route:  &route.Route{Name: "long", Kind: route.KindStream, Attempts: attempts, Resumable: resumable},
		Engine: engine,
	}
}

// serve runs a stream to its end, and returns its result and what the caller has.
func (f *fakeFleet) serve(t *testing.T, resumable bool) (Result, string) {
	return f.serveRequest(t, f.request(resumable))
}

func (f *fakeFleet) serveRequest(t *testing.T, request *Request) (Result, string) {
	sink := &recordingSink{}
	runner := f.runner()
	result := runner.Run(t.Context(), request, sink)
	runner.Wait()
	f.stopRuns()
	return result, sink.text.String()
}

// stopRuns stops the runs that go on at their endpoints.
func (f *fakeFleet) stopRuns() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, r := range f.runs {
		r.stop()
	}
}

// waitingRouter grants no slot.
type waitingRouter struct{}

func (waitingRouter) Acquire(ctx context.Context, _ *routing.RequestSpec) (*routing.Slot, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func (waitingRouter) Place(*routing.RequestSpec) (*routing.Slot, error) {
	return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint}
}

// firstRun waits for the run of the request and returns its endpoint.
func (f *fakeFleet) firstRun() netip.AddrPort {
	for {
		f.mutex.Lock()
		for address := range f.runs {
			f.mutex.Unlock()
			return address
		}
		f.mutex.Unlock()
		time.Sleep(fakeEventPause)
	}
}

// working reports whether another endpoint than the given one works on the request.
func (f *fakeFleet) working(but netip.AddrPort) bool {
	for address, r := range f.runs {
		select {
		case <-r.stopped:
		default:
			if address != but && r.made < f.events {
				return true
			}
		}
	}
	return false
}

// Send starts a run.
func (f *fakeFleet) Send(ctx context.Context, d *Dispatch) (*Reply, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.sends = append(f.sends, fakeSend{time.Now(), d.Endpoint.Address, d.After, d.Copy, f.working(d.Endpoint.Address)})
	if f.refuses != nil {
		if err := f.refuses(d); err != nil {
			return nil, err
		}
	}
	if !f.use(d) {
		return nil, &NotRunError{Status: http.StatusServiceUnavailable}
	}
	if d.Backup.IsValid() {
		f.backups[d.Backup] = true
	}
	r := &fakeRun{stopped: make(chan struct{}), made: d.After}
	f.runs[d.Endpoint.Address] = r
	if f.loses != nil && f.loses(d.Endpoint.Address) {
		go f.workOn(r)
		return nil, errFakeNoAnswer
	}
	if f.hides != nil && f.hides(d.Endpoint.Address) {
		go f.workOn(r)
		f.mutex.Unlock()
		<-ctx.Done()
		f.mutex.Lock()
		return nil, ctx.Err()
	}
	if f.delays != nil {
		f.mutex.Unlock()
		err := wait.For(ctx, f.delays(d.Endpoint.Address))
		f.mutex.Lock()
		if err != nil {
			r.stop()
			return nil, err
		}
	}
	if f.refusesLate != nil && f.refusesLate(d.Endpoint.Address) {
		r.stop()
		return nil, &NotRunError{Status: http.StatusServiceUnavailable}
	}
	if f.fails != nil && f.fails(d.Endpoint.Address) {
		r.stop()
		return &Reply{Status: http.StatusInternalServerError, Header: http.Header{}, Signed: true, Body: io.NopCloser(strings.NewReader(fakeFailure))}, nil
	}
	reader, writer := io.Pipe()
	go f.stream(ctx, d, r, writer)
	return &Reply{Status: http.StatusOK, Header: http.Header{}, Signed: true, Unframed: f.framing == unframed, Body: reader}, nil
}

// stream makes the events of a run until it is stopped, its connection breaks or its context ends.
func (f *fakeFleet) stream(ctx context.Context, d *Dispatch, r *fakeRun, w *io.PipeWriter) {
	breakAfter, worksOn := int64(0), false
	if f.breaks != nil {
		breakAfter, worksOn = f.breaks(d.Endpoint.Address)
	}
	silentAfter := int64(0)
	if f.silences != nil {
		silentAfter = f.silences(d.Endpoint.Address)
	}
	var back <-chan time.Time
	if f.returns != nil && f.returns(d.Endpoint.Address) > 0 {
		back = time.After(time.Duration(max(silentAfter-d.After, 0))*fakeEventPause + f.returns(d.Endpoint.Address))
	}
	pauseAfter, pause := int64(0), time.Duration(0)
	if f.pauses != nil {
		pauseAfter, pause = f.pauses(d.Endpoint.Address)
	}
	for n := d.After + 1; n <= f.events; n++ {
		next := fakeEventPause
		if pauseAfter > 0 && n == pauseAfter+1 {
			next += pause
		}
		select {
		case <-r.stopped:
			if silentAfter != 0 {
				f.awaitReturn(ctx, back, w, max(silentAfter, d.After)+1, r.made)
			}
			f.cut(w)
			return
		case <-ctx.Done():
			_ = w.CloseWithError(ctx.Err())
			if silentAfter != 0 { // the end of the connection does not arrive either
				f.workOn(r)
			} else if !worksOn {
				r.stop()
			}
			return
		case <-time.After(next):
		}
		f.mutex.Lock()
		r.made = n
		f.mutex.Unlock()
		if silentAfter != 0 && n > silentAfter {
			select {
			case <-back:
				f.write(w, max(silentAfter, d.After)+1, n)
				silentAfter = 0
			default:
			}
			continue
		}
		if breakAfter > 0 && n > breakAfter {
			if !worksOn {
				r.stop()
			}
			_ = w.CloseWithError(io.ErrUnexpectedEOF)
			if worksOn {
				f.workOn(r)
			}
			return
		}
		f.write(w, n, n)
	}
	if silentAfter != 0 && !f.awaitReturn(ctx, back, w, max(silentAfter, d.After)+1, f.events) {
		_ = w.CloseWithError(ctx.Err())
		return
	}
	_ = w.Close()
}

// write writes events from the first to the last; the reader may have left.
func (f *fakeFleet) write(w *io.PipeWriter, first, last int64) {
	for n := first; n <= last; n++ {
		if _, err := fmt.Fprintf(w, "id: %d\n\n", n); err != nil {
			return
		}
	}
}

// awaitReturn waits until a silent connection carries events again, and writes those from the first to the last. It reports whether it did before the
// context was done.
func (f *fakeFleet) awaitReturn(ctx context.Context, back <-chan time.Time, w *io.PipeWriter, first, last int64) bool {
	select {
	case <-back:
		f.write(w, first, last)
		return true
	case <-ctx.Done():
		return false
	}
}

// workOn makes the events of a run whose connection has closed.
func (f *fakeFleet) workOn(r *fakeRun) {
	for r.made < f.events {
		select {
		case <-r.stopped:
			return
		case <-time.After(fakeEventPause):
		}
		f.mutex.Lock()
		r.made++
		f.mutex.Unlock()
	}
}

// cut ends the stream of a stopped run without its end.
func (f *fakeFleet) cut(w *io.PipeWriter) {
	if f.framing == unframed {
		_ = w.Close()
		return
	}
	_ = w.CloseWithError(io.ErrUnexpectedEOF)
}

// origin returns from what a dispatch continued the run.
func (f *fakeFleet) origin(n int) string {
	switch c := f.sends[n].copy; {
	case c == nil:
		return "new run"
	case c.Handle == "r-1":
		return "backup"
	default:
		return "copy"
	}
}

// answerMoves has calls that copy a run answered by the function from now on.
func (f *fakeFleet) answerMoves(answer func(ctx context.Context, from, to netip.AddrPort, last bool, stop func()) (Copy, error)) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.move = answer
}

// Move copies a run.
func (f *fakeFleet) Move(ctx context.Context, _ string, from Endpoint, to netip.AddrPort, last bool) (Copy, error) {
	f.mutex.Lock()
	r := f.runs[from.Address]
	answer := f.move
	f.mutex.Unlock()
	stop := func() {
		if r != nil {
			r.stop()
		}
	}
	if answer != nil {
		return answer(ctx, from.Address, to, last, stop)
	}
	return f.copyRun(from.Address, to, last)
}

// Survives reports what the test says.
func (f *fakeFleet) Survives(ctx context.Context, endpoint Endpoint, _ string) bool {
	return !f.Crashed(ctx, endpoint.Address)
}

// Crashed reports what the test says.
func (f *fakeFleet) Crashed(_ context.Context, address netip.AddrPort) bool {
	return f.crashed != nil && f.crashed(address)
}

// At returns an endpoint.
func (f *fakeFleet) At(_ string, address netip.AddrPort) (Endpoint, bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	n, found := f.notices[address]
	return Endpoint{ID: address.String(), Address: address, Version: f.versions[address], Notice: n, Evacuated: f.evacuated[address]}, found && !f.gone[address]
}

// Register does nothing.
func (f *fakeFleet) Register(Endpoint, string, func() int) func() { return func() {} }

// Plan has runs copied at once.
func (f *fakeFleet) Plan(*Request, Endpoint, time.Time, time.Time) handover.Plan {
	return handover.Plan{Begin: time.Now()}
}

// SettleTime returns zero.
func (f *fakeFleet) SettleTime() time.Duration { return 0 }

// Ready reports that no other runs are moved.
func (f *fakeFleet) Ready(*Request, Endpoint) bool { return true }

// Dispatched does nothing.
func (f *fakeFleet) Dispatched(*Dispatch, int) {}

// RetryDecided keeps the cause, and whether the request is sent again.
func (f *fakeFleet) RetryDecided(_ *Request, _ Endpoint, cause error, again bool) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.failed = append(f.failed, cause)
	f.decided = append(f.decided, again)
}

// CrashNoticed does nothing.
func (f *fakeFleet) CrashNoticed(*Dispatch, int) {}

// FormerRunAsked does nothing.
func (f *fakeFleet) FormerRunAsked(*Dispatch, FormerRun, time.Time, error) {}

// StreamSilent does nothing.
func (f *fakeFleet) StreamSilent(*Dispatch, int, int64) {}

// Moved does nothing.
func (f *fakeFleet) Moved(*Request, netip.AddrPort, netip.AddrPort, Copy, bool, time.Time, error) {}

// recordingSink keeps what the caller gets.
type recordingSink struct{ text bytes.Buffer }

func (r *recordingSink) Begin(int, http.Header) error { return nil }

func (r *recordingSink) Write(data []byte) error {
	_, err := r.text.Write(data)
	return err
}

func (r *recordingSink) Cancel() {}

// assertAnswer checks that the caller has the events from 1 on in order, each once, and that an answer which ended as complete has all of them.
func (f *fakeFleet) assertAnswer(result Result, text string) {
	want := ""
	for n := int64(1); n <= result.LastEvent; n++ {
		want += fmt.Sprintf("id: %d\n\n", n)
	}
	f.is.Equal(text, want)
	if result.Outcome == OutcomeServed {
		f.is.Equal(result.LastEvent, f.events) // a stream that ends early must not look complete
	}
}

var errFakeNoAnswer = errors.New("no answer")

// latest returns the endpoint that the request was sent to last.
func (f *fakeFleet) latest() netip.AddrPort {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.sends[len(f.sends)-1].endpoint
}

// onlyFirst returns the value for the first endpoint that it is called with, and 0 for the others.
func (f *fakeFleet) onlyFirst(address netip.AddrPort, value int64) int64 {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.first.IsValid() {
		f.first = address
	}
	if address != f.first {
		return 0
	}
	return value
}
