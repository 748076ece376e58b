package wait

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for the duration, or returns the error of the context as soon as the context ends.
func For(ctx context.Context, duration time.Duration) error {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return ctx.Err()
	}
}

// Jitter returns a random duration, uniform from half to one and a half times the given one, so that many instances do not act at once.
func Jitter(duration time.Duration) time.Duration {
	return duration/2 + rand.N(duration+1)
}
