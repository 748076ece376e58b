package answer

import (
	"context"
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// fakePeers calls the first instance's method.
type fakePeers struct {
	first *Runner
	down  bool
}

func (p *fakePeers) Call(ctx context.Context, _ netip.AddrPort, _ string, params, result any) error {
	if p.down {
		return errReset
	}
	raw, err := json.Marshal(params)
	if err != nil {
		return err
	}
	answer, err := p.first.ServeResumed(ctx, netip.AddrPort{}, raw)
	if err != nil {
		return err
	}
	raw, err = json.Marshal(answer)
	if err != nil {
		return err
	}
	return json.Unmarshal(raw, result)
}

// newSecondInstance is another instance before the same engines.
func (b *harness) newSecondInstance() *Runner {
	b.second = &Runner{
		Engines: b.engines, Router: b.router, RetryBudgets: &RetryBudgets{}, Signer: b.runner.Signer, Observer: b.observer,
		Peers: &fakePeers{first: b.runner}, Self: b.engines.addresses[0],
	}
	return b.second
}

// leaveAt runs an answer whose caller leaves after some tokens, and returns the resume token that it has.
func (b *harness) leaveAt(t *testing.T, tokens int) *ResumeToken {
	t.Helper()
	is := is.New(t)
	b.runner.Self = b.engines.addresses[1]
	b.sink.leaveAt = tokens
	result := b.runner.Run(context.Background(), b.request(false), b.sink)
	is.Equal(result.Outcome, OutcomeCancelled)
	is.Equal(result.Delivered, tokens)
	token, err := b.runner.Signer.Verify(b.sink.resume, "rescue", time.Now())
	is.NoErr(err)
	b.sink.leaveAt = 0
	return token
}

func TestResume(t *testing.T) {
	t.Run("sameInstance", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			token := b.leaveAt(t, 40)
			is.Equal(b.router.open, 1) // the generation still takes its place
			result := b.runner.Resume(context.Background(), token, b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, b.sink.tokens)
			assertConsistent(t, b)
			is.Equal(len(b.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("anotherInstance", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			b.runner.Grace = 100 * time.Millisecond // shorter than the rest of the answer
			token := b.leaveAt(t, 40)
			result := b.newSecondInstance().Resume(context.Background(), token, b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, b.sink.tokens)
			assertConsistent(t, b)
			is.Equal(len(b.engines.engine(0).cancelled), 0)
			is.Equal(b.engines.starts(), 1)
		})
	})
	t.Run("graceCancels", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			b.leaveAt(t, 40)
			assertConsistent(t, b)
			is.Equal(b.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
	t.Run("originStillSends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			b.sink.leaveAt = 40
			b.sink.onLeave = func() { // the notice comes before the first instance sees that the caller left
				_, err := b.runner.ServeResumed(t.Context(), netip.AddrPort{}, json.RawMessage(`{"id":"a"}`))
				is.NoErr(err)
			}
			result := b.runner.Run(context.Background(), b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			assertConsistent(t, b)
			is.Equal(len(b.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("leavesAgainAtOnce", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			token := b.leaveAt(t, 40)
			second := b.newSecondInstance()
			second.Grace = time.Millisecond
			b.sink.leaveAt = 40 // gets nothing there, so its token still names the first instance
			result := second.Resume(context.Background(), token, b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			time.Sleep(tokenInterval)
			b.sink.leaveAt = 0
			result = b.runner.Resume(context.Background(), token, b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, b.sink.tokens)
			assertConsistent(t, b)
		})
	})
	t.Run("sameInstanceStillSends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			b.sink.leaveAt = 40
			again := &fakeSink{}
			var group conc.WaitGroup
			b.sink.onLeave = func() { // the caller is back before its first connection is seen to be dead
				token, err := b.runner.Signer.Verify(b.sink.resume, "rescue", time.Now())
				is.NoErr(err)
				group.Go(func() {
					result := b.runner.Resume(context.Background(), token, b.request(false), again)
					is.Equal(result.Outcome, OutcomeFinished)
				})
				synctest.Wait()
			}
			b.runner.Grace = time.Millisecond
			result := b.runner.Run(context.Background(), b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			group.Wait()
			assertComplete(t, append(b.sink.tokens, again.tokens...))
			assertConsistent(t, b)
			is.Equal(len(b.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("afterTheEnd", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			first := b.runner.Run(context.Background(), b.request(false), b.sink)
			token, err := b.runner.Signer.Verify(first.ResumeToken, "rescue", time.Now())
			is.NoErr(err)
			result := b.newSecondInstance().Resume(context.Background(), token, b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, b.sink.tokens)
		})
	})
	bodies := []struct {
		name    string
		body    string
		down    bool // the first instance is lost too
		outcome Outcome
	}{
		{"bothLostWithBody", `{"seed":1}`, true, OutcomeFinished},
		{"bothLostWithoutBody", "", true, OutcomeInterrupted},
		{"bothLostOtherBody", `{"seed":2}`, true, OutcomeInterrupted},
		{"engineLostWithoutBody", "", false, OutcomeFinished}, // the first instance has it
	}
	for _, c := range bodies {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				b := newHarness(t, 2, true)
				token := b.leaveAt(t, 40)
				b.engines.kill(b.engines.engine(0))
				request := b.request(false)
				request.Body = []byte(c.body)
				second := b.newSecondInstance()
				second.Peers = &fakePeers{first: b.runner, down: c.down}
				result := second.Resume(context.Background(), token, request, b.sink)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(result.Delivered, len(b.sink.tokens))
				if c.outcome == OutcomeFinished {
					assertComplete(t, b.sink.tokens)
				}
				assertConsistent(t, b)
			})
		})
	}
}

func TestReplayDiffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := newHarness(t, 3, false)
		b.engines.injectFault(0, "die", 90)
		request := b.request(false)
		request.Repeatable = true // declared, but the engines do not hold it
		result := b.runner.Run(context.Background(), request, b.sink)
		is.Equal(result.Outcome, OutcomeInterrupted)
		is.Equal(result.Delivered, 90)
		is.Equal(len(b.sink.tokens), 90)
		is.True(len(b.observer.replays) > 0)
		for _, verified := range b.observer.replays {
			is.True(!verified)
		}
		assertConsistent(t, b)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("allDead", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			b.engines.engine(0).dead = true
			b.engines.engine(1).refuses = true
			result := b.runner.Run(context.Background(), b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeNotRun)
			is.Equal(b.engines.starts(), 0)
			assertConsistent(t, b)
		})
	})
	t.Run("budgetSpent", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			for range initialRetries {
				_, allowed := b.runner.RetryBudgets.ForEntry("verdicts").Take(t.Context(), 0)
				is.True(allowed)
			}
			time.Sleep(budgetWindow) // in which there could have been successes
			b.engines.injectFault(0, "die", 0)
			began := time.Now()
			result := b.runner.Run(context.Background(), b.request(false), b.sink)
			is.Equal(result.Outcome, OutcomeUnknown)
			is.Equal(result.Reason, "retryBudget")
			is.True(result.RetryAt.After(began))
			is.True(time.Since(began) < time.Second) // the answer comes at once
			assertConsistent(t, b)
		})
	})
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			request := b.request(false)
			request.Deadline = time.Now().Add(answerLength / 2 * tokenInterval)
			result := b.runner.Run(context.Background(), request, b.sink)
			is.Equal(result.Outcome, OutcomeInterrupted)
			is.Equal(result.Reason, "deadline")
			assertConsistent(t, b)
			is.Equal(b.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
	t.Run("wholeCallerLeaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			b := newHarness(t, 2, false)
			ctx, cancel := context.WithTimeout(context.Background(), answerLength/2*tokenInterval)
			defer cancel()
			result := b.runner.Run(ctx, b.request(true), b.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			assertConsistent(t, b)
			is.Equal(b.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
}
