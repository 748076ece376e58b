package load

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sourcegraph/conc"
)

// balancer keeps requests from instances that say that they are not ready, as the platform's does.
type balancer struct {
	http    *http.Client
	targets []string
	down    []atomic.Bool
}

func newBalancer(h *http.Client, targets []string) *balancer {
	return &balancer{http: h, targets: targets, down: make([]atomic.Bool, len(targets))}
}

// pick returns the target, or the next one that is ready; while none is, it stays with the target.
func (b *balancer) pick(target int) int {
	for i := range b.targets {
		next := (target + i) % len(b.targets)
		if !b.down[next].Load() {
			return next
		}
	}
	return target
}

// run asks all targets at intervals until the context ends.
func (b *balancer) run(ctx context.Context) {
	var loops conc.WaitGroup
	for i := range b.targets {
		loops.Go(func() {
			for sleepUntil(ctx, time.Now().Add(readyInterval)) {
				b.down[i].Store(!b.ready(ctx, i))
			}
		})
	}
	loops.Wait()
}

// ready tells whether a target takes work; one that does not know the path is taken to.
func (b *balancer) ready(ctx context.Context, target int) bool {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, b.targets[target]+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := b.http.Do(request)
	if err != nil {
		return false
	}
	defer response.Body.Close()
	return response.StatusCode != http.StatusServiceUnavailable
}
