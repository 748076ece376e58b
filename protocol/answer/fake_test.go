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

// strike is a fault that an engine brings about once, when a connection is about to send the token.
type strike struct {
	kind string
	at   int
	done bool
}

// fakeEngine generates one token per interval; a dead one has lost its generations and refuses connections.
type fakeEngine struct {
	strikes     []*strike
	dead        bool
	refuses     bool
	loses       bool // starts nothing that lasts
	generations map[string]bool
	starts      int
	cancelled   []string
}

// fakeEngines is a set of engines that generate the same answer.
type fakeEngines struct {
	mutex      sync.Mutex
	length     int
	repeatable bool
	engines    map[netip.AddrPort]*fakeEngine
	order      []netip.AddrPort
}

func newFakeEngines(count, length int, repeatable bool) *fakeEngines {
	f := &fakeEngines{length: length, repeatable: repeatable, engines: map[netip.AddrPort]*fakeEngine{}}
	for i := range count {
		at := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), uint16(9000+i))
		f.engines[at] = &fakeEngine{generations: map[string]bool{}}
		f.order = append(f.order, at)
	}
	return f
}

func (f *fakeEngines) at(i int) *fakeEngine { return f.engines[f.order[i]] }

// fault makes the engine strike once at the token.
func (f *fakeEngines) fault(i int, kind string, at int) {
	f.at(i).strikes = append(f.at(i).strikes, &strike{kind: kind, at: at})
}

// struck takes a fault that is due; the lock is held.
func (e *fakeEngine) struck(at int) string {
	for _, s := range e.strikes {
		if !s.done && s.at == at {
			s.done = true
			return s.kind
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
	engine.generations[generation] = !engine.loses
	kind := engine.struck(-1)
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
	return &fakeStream{fleet: f, engine: engine, generation: generation}, nil
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
	return &fakeStream{fleet: f, engine: engine, generation: generation, next: from}, nil
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

// starts counts the generations that engines have started.
func (f *fakeEngines) starts() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	sum := 0
	for _, e := range f.engines {
		sum += e.starts
	}
	return sum
}

// fakeStream is one connection.
type fakeStream struct {
	fleet      *fakeEngines
	engine     *fakeEngine
	generation string
	next       int
	later      []Token
	silent     bool
}

func (s *fakeStream) Close() error { return nil }

func (s *fakeStream) Next(ctx context.Context) (Token, error) {
	if len(s.later) > 0 {
		token := s.later[0]
		s.later = s.later[1:]
		return token, nil
	}
	if s.next > 0 || s.silent {
		if err := s.wait(ctx); err != nil {
			return Token{}, err
		}
	}
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	if s.engine.dead || !s.engine.generations[s.generation] {
		return Token{}, errReset
	}
	if s.next >= s.fleet.length {
		return Token{}, io.EOF
	}
	return s.strike(ctx, s.engine.struck(s.next))
}

func (s *fakeStream) wait(ctx context.Context) error {
	if s.silent {
		<-ctx.Done()
		return ctx.Err()
	}
	return wait.For(ctx, tokenInterval)
}

// strike sends the next token with the fault; the lock is held but while it waits.
func (s *fakeStream) strike(ctx context.Context, kind string) (Token, error) {
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
		s.fleet.mutex.Unlock()
		defer s.fleet.mutex.Lock()
		return Token{}, s.wait(ctx)
	case "duplicate":
		s.later = append(s.later, token)
	case "lose":
		s.next++
		if s.next >= s.fleet.length {
			return Token{}, io.EOF
		}
		token = s.token(s.next)
	case "reorder":
		if s.next+1 < s.fleet.length {
			s.later = append(s.later, token)
			token = s.token(s.next + 1)
			s.next++
		}
	case "foreign":
		s.later = append(s.later, token)
		token.Generation += "x"
	}
	s.next++
	return token, nil
}

func (s *fakeStream) token(index int) Token {
	source := "same"
	if !s.fleet.repeatable {
		source = s.generation
	}
	return Token{
		Generation: s.generation,
		Index:      index,
		Text:       fmt.Sprintf("%s %d;", source, index),
		Last:       index == s.fleet.length-1,
	}
}

// fakeRouter gives endpoints in order, but for those that are excluded.
type fakeRouter struct {
	mutex    sync.Mutex
	order    []netip.AddrPort
	rotates  bool // gives each request the next endpoint
	next     int
	open     int
	outcomes []routing.Outcome
}

func (r *fakeRouter) Acquire(ctx context.Context, ask *routing.RequestSpec) (Slot, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if ctx.Err() != nil {
		return nil, ctx.Err()
	}
	if !time.Now().Before(ask.Deadline) {
		return nil, &routing.RefusalError{Reason: routing.ReasonDeadline}
	}
	if r.rotates {
		r.next++
	}
	for range r.order {
		at := r.order[r.next%len(r.order)]
		if !slices.Contains(ask.Exclude, at) {
			r.open++
			return &fakeSlot{router: r, at: at}, nil
		}
		r.next++
	}
	return nil, &routing.RefusalError{Reason: routing.ReasonNoEndpoint, RetryAt: time.Now().Add(time.Second)}
}

type fakeSlot struct {
	router *fakeRouter
	at     netip.AddrPort
	gone   bool
}

func (s *fakeSlot) Endpoint() netip.AddrPort { return s.at }
func (s *fakeSlot) RecordToken(time.Time)    {}
func (s *fakeSlot) Release(outcome routing.Outcome, _ time.Time) {
	s.router.mutex.Lock()
	defer s.router.mutex.Unlock()
	if s.gone {
		panic("released twice")
	}
	s.gone = true
	s.router.open--
	s.router.outcomes = append(s.router.outcomes, outcome)
}

// fakeSink is a caller that may leave before a token.
type fakeSink struct {
	tokens  []Token
	resume  string
	leaveAt int // zero: stays
	leaving func()
}

func (s *fakeSink) Deliver(token Token, resume string) error {
	if s.leaveAt > 0 && len(s.tokens) >= s.leaveAt {
		if s.leaving != nil {
			s.leaving()
		}
		return errReset
	}
	s.tokens = append(s.tokens, token)
	s.resume = resume
	return nil
}

// fakeObserver keeps transitions and counts.
type fakeObserver struct {
	mutex   sync.Mutex
	moves   []Transition
	dropped map[Verdict]int
	resumed int
	retried int
	replays []bool
}

func (o *fakeObserver) Moved(t Transition) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.moves = append(o.moves, t)
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
