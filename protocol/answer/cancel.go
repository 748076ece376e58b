package answer

import (
	"context"
	"time"

	"dogwooddyke/internal/wait"
)

// cancelInBackground cancels a generation in the background. If maximumPendingCancels are already running, it does nothing, and the
// generation ends when the engine's own retention period expires.
func (r *Runner) cancelInBackground(abandoned location) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.pendingCancels >= maximumPendingCancels {
		return
	}
	r.pendingCancels++
	r.background.Go(func() {
		r.cancelUntilConfirmed(abandoned)
		r.mutex.Lock()
		defer r.mutex.Unlock()
		r.pendingCancels--
	})
}

// cancelUntilConfirmed retries the cancellation until the engine confirms it or cancelTotalTimeout has passed.
func (r *Runner) cancelUntilConfirmed(abandoned location) {
	ctx, stop := context.WithTimeout(context.Background(), cancelTotalTimeout)
	defer stop()
	for {
		if err := r.cancelOnce(ctx, abandoned); err == nil {
			return
		}
		if err := wait.For(ctx, cancelRetryPause); err != nil {
			return
		}
	}
}

// cancelOnce sends one cancellation to the engine.
func (r *Runner) cancelOnce(ctx context.Context, abandoned location) error {
	bounded, stop := context.WithDeadline(ctx, time.Now().Add(cancelTimeout))
	defer stop()
	return r.Engines.Cancel(bounded, abandoned.endpoint, abandoned.generation)
}
