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

// fakePeers calls ServeResumed of the first instance.
type fakePeers struct {
	first *Runner
	down  bool // calls fail
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

// newSecondInstance returns the runner of another instance that uses the same engines.
func (h *harness) newSecondInstance() *Runner {
	h.second = &Runner{
		Engines: h.engines, Router: h.router, RetryBudgets: &RetryBudgets{}, Signer: h.runner.Signer, Observer: h.observer,
		Peers: &fakePeers{first: h.runner}, Self: h.engines.addresses[0],
	}
	return h.second
}

// leaveAt runs an answer whose caller leaves after the given number of tokens, and returns the caller's resume token.
func (h *harness) leaveAt(t *testing.T, tokens int) *ResumeToken {
	t.Helper()
	is := is.New(t)
	h.runner.Self = h.engines.addresses[1]
	h.sink.leaveAt = tokens
	result := h.runner.Run(context.Background(), h.request(false), h.sink)
	is.Equal(result.Outcome, OutcomeCancelled)
	is.Equal(result.Delivered, tokens)
	token, err := h.runner.Signer.Verify(h.sink.resume, "rescue", time.Now())
	is.NoErr(err)
	h.sink.leaveAt = 0
	return token
}

func TestResume(t *testing.T) {
	t.Run("sameInstance", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			token := h.leaveAt(t, 40)
			is.Equal(h.router.open, 1) // the generation still occupies its slot
			result := h.runner.Resume(context.Background(), token, h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, h.sink.tokens)
			assertConsistent(t, h)
			is.Equal(len(h.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("otherInstance", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			h.runner.Grace = 100 * time.Millisecond // shorter than the rest of the answer
			token := h.leaveAt(t, 40)
			result := h.newSecondInstance().Resume(context.Background(), token, h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, h.sink.tokens)
			assertConsistent(t, h)
			is.Equal(len(h.engines.engine(0).cancelled), 0)
			is.Equal(h.engines.starts(), 1)
		})
	})
	t.Run("cancelledAfterGracePeriod", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			h.leaveAt(t, 40)
			assertConsistent(t, h)
			is.Equal(h.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
	t.Run("resumedElsewhereWhileOriginSends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			h.sink.leaveAt = 40
			h.sink.onLeave = func() { // the peer call arrives before the first instance detects that the caller left
				_, err := h.runner.ServeResumed(t.Context(), netip.AddrPort{}, json.RawMessage(`{"id":"a"}`))
				is.NoErr(err)
			}
			result := h.runner.Run(context.Background(), h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			assertConsistent(t, h)
			is.Equal(len(h.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("leavesAgainBeforeFirstToken", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			token := h.leaveAt(t, 40)
			second := h.newSecondInstance()
			second.Grace = time.Millisecond
			h.sink.leaveAt = 40 // the second instance delivers nothing, so the caller's token still names the first one
			result := second.Resume(context.Background(), token, h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			time.Sleep(tokenInterval)
			h.sink.leaveAt = 0
			result = h.runner.Resume(context.Background(), token, h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, h.sink.tokens)
			assertConsistent(t, h)
		})
	})
	t.Run("resumedWhileSameInstanceSends", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			h.sink.leaveAt = 40
			again := &fakeSink{}
			var group conc.WaitGroup
			h.sink.onLeave = func() { // the caller returns before the runner detects that its first connection is broken
				token, err := h.runner.Signer.Verify(h.sink.resume, "rescue", time.Now())
				is.NoErr(err)
				group.Go(func() {
					result := h.runner.Resume(context.Background(), token, h.request(false), again)
					is.Equal(result.Outcome, OutcomeFinished)
				})
				synctest.Wait()
			}
			h.runner.Grace = time.Millisecond
			result := h.runner.Run(context.Background(), h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			group.Wait()
			assertComplete(t, append(h.sink.tokens, again.tokens...))
			assertConsistent(t, h)
			is.Equal(len(h.engines.engine(0).cancelled), 0)
		})
	})
	t.Run("afterLastToken", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			first := h.runner.Run(context.Background(), h.request(false), h.sink)
			token, err := h.runner.Signer.Verify(first.ResumeToken, "rescue", time.Now())
			is.NoErr(err)
			result := h.newSecondInstance().Resume(context.Background(), token, h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeFinished)
			assertComplete(t, h.sink.tokens)
		})
	})
	bodies := []struct {
		name    string
		body    string
		down    bool // the first instance is unreachable too
		outcome Outcome
	}{
		{"bothLostWithBody", `{"seed":1}`, true, OutcomeFinished},
		{"bothLostWithoutBody", "", true, OutcomeInterrupted},
		{"bothLostOtherBody", `{"seed":2}`, true, OutcomeInterrupted},
		{"engineLostWithoutBody", "", false, OutcomeFinished}, // the first instance returns the body
	}
	for _, c := range bodies {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				h := newHarness(t, 2, true)
				token := h.leaveAt(t, 40)
				h.engines.kill(h.engines.engine(0))
				request := h.request(false)
				request.Body = []byte(c.body)
				second := h.newSecondInstance()
				second.Peers = &fakePeers{first: h.runner, down: c.down}
				result := second.Resume(context.Background(), token, request, h.sink)
				is.Equal(result.Outcome, c.outcome)
				is.Equal(result.Delivered, len(h.sink.tokens))
				if c.outcome == OutcomeFinished {
					assertComplete(t, h.sink.tokens)
				}
				assertConsistent(t, h)
			})
		})
	}
}

func TestReplayDiffers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		h := newHarness(t, 3, false)
		h.engines.injectFault(0, "die", 90)
		request := h.request(false)
		request.Repeatable = true // declared, but the engines generate different tokens
		result := h.runner.Run(context.Background(), request, h.sink)
		is.Equal(result.Outcome, OutcomeInterrupted)
		is.Equal(result.Delivered, 90)
		is.Equal(len(h.sink.tokens), 90)
		is.True(len(h.observer.replays) > 0)
		for _, verified := range h.observer.replays {
			is.True(!verified)
		}
		assertConsistent(t, h)
	})
}

func TestRefusals(t *testing.T) {
	t.Run("noEngineStarts", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			h.engines.engine(0).dead = true
			h.engines.engine(1).refuses = true
			result := h.runner.Run(context.Background(), h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeNotRun)
			is.Equal(h.engines.starts(), 0)
			assertConsistent(t, h)
		})
	})
	t.Run("budgetExhausted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			for range initialRetries {
				_, allowed := h.runner.RetryBudgets.ForEntry("verdicts").Take(t.Context(), 0)
				is.True(allowed)
			}
			time.Sleep(budgetWindow) // after this, a budget without successes refuses a retry at once instead of waiting
			h.engines.injectFault(0, "die", 0)
			began := time.Now()
			result := h.runner.Run(context.Background(), h.request(false), h.sink)
			is.Equal(result.Outcome, OutcomeUnknown)
			is.Equal(result.Reason, "retryBudget")
			is.True(result.RetryAt.After(began))
			is.True(time.Since(began) < time.Second) // the request fails without waiting for the budget
			assertConsistent(t, h)
		})
	})
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			request := h.request(false)
			request.Deadline = time.Now().Add(answerLength / 2 * tokenInterval)
			result := h.runner.Run(context.Background(), request, h.sink)
			is.Equal(result.Outcome, OutcomeInterrupted)
			is.Equal(result.Reason, "deadline")
			assertConsistent(t, h)
			is.Equal(h.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
	t.Run("bufferedCallerLeaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			h := newHarness(t, 2, false)
			ctx, cancel := context.WithTimeout(context.Background(), answerLength/2*tokenInterval)
			defer cancel()
			result := h.runner.Run(ctx, h.request(true), h.sink)
			is.Equal(result.Outcome, OutcomeCancelled)
			assertConsistent(t, h)
			is.Equal(h.engines.engine(0).cancelled, []string{"a.1"})
		})
	})
}
