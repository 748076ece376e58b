package answer

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/internal/wait"
)

const tokenInterval = 10 * time.Millisecond

var errReset = errors.New("connection reset")

// injectedFault is a fault that occurs once, when a connection is about to send the token with the index.
type injectedFault struct {
	kind  string
	index int
	done  bool
}

// fakeEngine generates one token per tokenInterval.
type fakeEngine struct {
	faults           []*injectedFault
	dead             bool            // the engine has lost its generations and accepts no connection
	refuses          bool            // the engine refuses new generations
	losesGenerations bool            // the engine starts generations but loses each at once
	generations      map[string]bool // names of the generations that the engine has
	starts           int             // generations started
	cancelled        []string        // names of the cancelled generations
}

// fakeEngines is a set of engines that generate the same answer.
type fakeEngines struct {
	mutex      sync.Mutex
	length     int  // tokens of the answer
	repeatable bool // all generations have the same tokens
	engines    map[netip.AddrPort]*fakeEngine
	addresses  []netip.AddrPort
}

func newFakeEngines(count, length int, repeatable bool) *fakeEngines {
	f := &fakeEngines{length: length, repeatable: repeatable, engines: map[netip.AddrPort]*fakeEngine{}}
	for i := range count {
		address := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		f.engines[address] = &fakeEngine{generations: map[string]bool{}}
		f.addresses = append(f.addresses, address)
	}
	return f
}

func (f *fakeEngines) engine(i int) *fakeEngine { return f.engines[f.addresses[i]] }

// injectFault adds a fault of the engine at the token with the index; -1 means the start of a generation.
func (f *fakeEngines) injectFault(i int, kind string, index int) {
	f.engine(i).faults = append(f.engine(i).faults, &injectedFault{kind: kind, index: index})
}

// takeFault returns the kind of a fault that is due and marks it as done; the caller holds the mutex.
func (e *fakeEngine) takeFault(index int) string {
	for _, f := range e.faults {
		if !f.done && f.index == index {
			f.done = true
			return f.kind
		}
	}
	return ""
}

func (f *fakeEngines) Start(ctx context.Context, endpoint netip.AddrPort, generation string, _ *Request) (Stream, error) {
	f.mutex.Lock()
	engine := f.engines[endpoint]
	if engine.dead {
		f.mutex.Unlock()
		return nil, fmt.Errorf("%w: dial", ErrNotStarted)
	}
	if engine.refuses {
		f.mutex.Unlock()
		return nil, &RefusedError{Status: 503, NotStarted: true}
	}
	engine.starts++
	engine.generations[generation] = !engine.losesGenerations
	kind := engine.takeFault(-1)
	f.mutex.Unlock()
	switch kind {
	case "dropAnswer":
		return nil, errReset
	case "die":
		f.kill(engine)
		return nil, errReset
	case "silence":
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &fakeStream{engines: f, engine: engine, generation: generation}, nil
}

func (f *fakeEngines) kill(e *fakeEngine) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	e.dead = true
	e.generations = map[string]bool{}
}

func (f *fakeEngines) Resume(_ context.Context, endpoint netip.AddrPort, generation string, from int) (Stream, error) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	engine := f.engines[endpoint]
	if engine.dead {
		return nil, errReset
	}
	if !engine.generations[generation] {
		return nil, ErrUnknownGeneration
	}
	return &fakeStream{engines: f, engine: engine, generation: generation, next: from}, nil
}

func (f *fakeEngines) Cancel(_ context.Context, endpoint netip.AddrPort, generation string) error {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	engine := f.engines[endpoint]
	if engine.dead {
		return errReset
	}
	engine.cancelled = append(engine.cancelled, generation)
	delete(engine.generations, generation)
	return nil
}

// starts returns the number of generations that the engines have started.
func (f *fakeEngines) starts() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sum := 0
	for _, e := range f.engines {
		sum += e.starts
	}
	return sum
}

// fakeStream is one connection to a fake engine.
type fakeStream struct {
	engines    *fakeEngines
	engine     *fakeEngine
	generation string
	next       int     // index of the next token
	pending    []Token // tokens to send before the next one
	silent     bool    // no more tokens are sent
}

func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Next(ctx context.Context) (Token, error) {
	if len(s.pending) > 0 {
		token := s.pending[0]
		s.pending = s.pending[1:]
		return token, nil
	}
	if s.next > 0 || s.silent {
		if err := s.wait(ctx); err != nil {
			return Token{}, err
		}
	}
	s.engines.mutex.Lock()
	defer s.engines.mutex.Unlock()
	if s.engine.dead || !s.engine.generations[s.generation] {
		return Token{}, errReset
	}
	if s.next >= s.engines.length {
		return Token{}, io.EOF
	}
	return s.sendWithFault(ctx, s.engine.takeFault(s.next))
}

func (s *fakeStream) wait(ctx context.Context) error {
	if s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return wait.For(ctx, tokenInterval)
}

// sendWithFault returns the next token with the fault applied. The caller holds the mutex, which is released only during a wait.
func (s *fakeStream) sendWithFault(ctx context.Context, kind string) (Token, error) {
	token := s.token(s.next)
	switch kind {
	case "die":
		s.engine.dead = true
		s.engine.generations = map[string]bool{}
		return Token{}, errReset
	case "cut":
		return Token{}, errReset
	case "end":
		return Token{}, io.EOF
	case "silence":
		s.silent = true
		s.engines.mutex.Unlock()
		defer s.engines.mutex.Lock()
		return Token{}, s.wait(ctx)
	case "duplicate":
		s.pending = append(s.pending, token)
	case "lose":
		s.next++
		if s.next >= s.engines.length {
			return Token{}, io.EOF
		}
		token = s.token(s.next)
	case "reorder":
		if s.next+1 < s.engines.length {
			s.pending = append(s.pending, token)
			token = s.token(s.next + 1)
			s.next++
		}
	case "foreign":
		s.pending = append(s.pending, token)
		token.Generation += "x"
	}
	s.next++
	return token, nil
}

func (s *fakeStream) token(index int) Token {
	source := "same"
	if !s.engines.repeatable {
		source = s.generation
	}
	return Token{
		Generation: s.generation,
		Index:      index,
		Text:       fmt.Sprintf("%s %d;", source, index),
		Last:       index == s.engines.length-1,
	}
}

// fakeRouter returns the first endpoint that is not excluded.
type fakeRouter struct {
	mutex      sync.Mutex
	addresses  []netip.AddrPort
	roundRobin bool // each request starts at the next endpoint
	next       int
	open       int               // slots that have not been released
	outcomes   []routing.Outcome // outcomes of released slots
}

func (r *fakeRouter) Acquire(ctx context.Context, spec *routing.RequestSpec) (Slot, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if !time.Now().Before(spec.Deadline) {
		return nil, &routing.RefusalError{Reason: routing.ReasonDeadline}
	}
	if r.roundRobin {
		r.next++
	}
	for range r.addresses {
		address := r.addresses[r.next%len(r.addresses)]
		if !slices.Contains(spec.Exclude, address) {
			r.open++
			return &fakeSlot{router: r, address: address}, nil
		}
		r.next++
	}
	return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint, RetryAt: time.Now().Add(time.Second)}
}

type fakeSlot struct {
	router   *fakeRouter
	address  netip.AddrPort
	released bool
}

func (s *fakeSlot) Endpoint() netip.AddrPort { return s.address }
func (s *fakeSlot) RecordToken(time.Time)    {}
func (s *fakeSlot) Release(outcome routing.Outcome, _ time.Time) {
	s.router.mutex.Lock()
	defer s.router.mutex.Unlock()
	if s.released {
		panic("released twice")
	}
	s.released = true
	s.router.open--
	s.router.outcomes = append(s.router.outcomes, outcome)
}

// fakeSink is a caller that can leave before a given token.
type fakeSink struct {
	tokens  []Token
	resume  string
	leaveAt int    // tokens after which the caller leaves; zero means that it stays
	onLeave func() // called when the caller leaves; may be nil
}

func (s *fakeSink) Deliver(token Token, resume string) error {
	if s.leaveAt > 0 && len(s.tokens) >= s.leaveAt {
		if s.onLeave != nil {
			s.onLeave()
		}
		return errReset
	}
	s.tokens = append(s.tokens, token)
	s.resume = resume
	return nil
}

// fakeObserver records transitions and counts events.
type fakeObserver struct {
	mutex       sync.Mutex
	transitions []Transition
	dropped     map[Verdict]int
	resumed     int
	retried     int
	replays     []bool
}

func (o *fakeObserver) StateChanged(t Transition) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.transitions = append(o.transitions, t)
}

func (o *fakeObserver) Retried(_, _, _ string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.retried++
}

func (o *fakeObserver) Resumed(_, _ string) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.resumed++
}

func (o *fakeObserver) Replayed(_, _ string, verified bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.replays = append(o.replays, verified)
}

func (o *fakeObserver) Dropped(_, _ string, cause Verdict) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.dropped == nil {
		o.dropped = map[Verdict]int{}
	}
	o.dropped[cause]++
}
