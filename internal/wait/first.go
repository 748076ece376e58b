package wait

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// First makes hedged calls: it starts the call, and starts it again after each interval while earlier calls are in flight. It returns the
// first result without an error, or the latest error once no call is in flight, or the error of the context if the context ends first.
// Before it returns it cancels the contexts of the remaining calls and waits for them.
func First[T any](ctx context.Context, interval time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	type outcome struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	results := make(chan outcome)
	start := func() {
		group.Go(func() {
			value, err := call(ctx)
			select {
			case results <- outcome{value, err}:
			case <-ctx.Done():
			}
		})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	start()
	for pending := 1; ; {
		select {
		case result := <-results:
			if pending--; result.err == nil || pending == 0 {
				return result.value, result.err
			}
		case <-ticker.C:
			start()
			pending++
		case <-ctx.Done():
			var zero T
			return zero, ctx.Err()
		}
	}
}
