package routing

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, byte(n >> 8), byte(n)}), 9000)
}

func engines(count int) []catalogue.Endpoint {
	all := make([]catalogue.Endpoint, 0, count)
	for n := range count {
		all = append(all, catalogue.Endpoint{Address: address(n + 1), DataCentre: "a"})
	}
	return all
}

func newRouter(count, slots int) *Router {
	r := New(Config{DataCentre: "a", Random: rand.New(rand.NewPCG(1, 2))})
	now := time.Now()
	r.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: engines(count)}, now)
	for n := range count {
		r.UpdateLoad(address(n+1), endpoint.Load{At: now, CapacityTokens: 1 << 16}, now)
		r.SetShare(address(n+1), endpoint.Share{Slots: slots, Memory: 1 << 16, Spread: 1, Until: now.Add(time.Hour)}, now)
	}
	return r
}

func specFor(workspace string, wait time.Duration) *RequestSpec {
	return &RequestSpec{Entry: "e", Workspace: workspace, PromptTokens: 10, MaximumTokens: 100, Deadline: time.Now().Add(wait)}
}

func refusal(is *is.I, err error) *RefusalError {
	is.Helper()
	var refused *RefusalError
	is.True(errors.As(err, &refused))
	return refused
}

func TestAcquire(t *testing.T) {
	t.Run("waitsForASlot", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 1)
			first, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			start := time.Now()
			time.AfterFunc(3*time.Second, func() { first.Release(OutcomeFinished, time.Now()) })
			second, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			is.Equal(time.Since(start), 3*time.Second)
			is.Equal(second.Decision().Reason, "admitted")
		})
	})
	t.Run("deadline", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 1)
			_, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			_, err = r.Acquire(context.Background(), specFor("w", 10*time.Second))
			refused := refusal(is, err)
			is.Equal(refused.Reason, ReasonDeadline)
			is.True(refused.RetryAt.After(time.Now()))
		})
	})
	t.Run("callerLeaves", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 1)
			_, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err = r.Acquire(ctx, specFor("w", time.Minute))
			is.True(errors.Is(err, context.DeadlineExceeded))
			is.Equal(r.core.queue.size, 0)
		})
	})
	t.Run("unknownEntry", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(1, 1)
		_, err := r.Acquire(context.Background(), &RequestSpec{Entry: "none"})
		is.Equal(refusal(is, err).Reason, ReasonNoEndpoint)
	})
	t.Run("removedEntry", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			r := newRouter(1, 1)
			_, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			time.AfterFunc(time.Second, func() { r.RemoveEntry("e", time.Now()) })
			_, err = r.Acquire(context.Background(), specFor("w", time.Minute))
			is.Equal(refusal(is, err).Reason, ReasonNoEndpoint)
		})
	})
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		r := newRouter(2, 4)
		r.SetLeaving(address(1), true, time.Now())
		for range 4 {
			slot, err := r.Acquire(context.Background(), specFor("w", time.Minute))
			is.NoErr(err)
			is.Equal(slot.Endpoint(), address(2))
		}
		r.SetLeaving(address(1), false, time.Now())
		slot, err := r.Acquire(context.Background(), specFor("w", time.Minute))
		is.NoErr(err)
		is.Equal(slot.Endpoint(), address(1))
	})
}
