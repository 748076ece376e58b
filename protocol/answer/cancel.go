package answer

import (
	"context"
	"time"

	"dogwooddyke/internal/wait"
)

// cancelInBackground cancels a generation in the background, within a bound; beyond it the engine's own retention ends the generation.
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

// cancelUntilConfirmed tries to end a generation until the engine confirms it or the horizon is reached.
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

func (r *Runner) cancelOnce(ctx context.Context, abandoned location) error {
	bounded, stop := context.WithDeadline(ctx, time.Now().Add(cancelTimeout))
	defer stop()
	return r.Engines.Cancel(bounded, abandoned.endpoint, abandoned.generation)
}
