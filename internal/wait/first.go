package wait

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// First makes the call, and again beside those in progress each time that the interval has passed. It returns the first result without
// an error, or the latest error once none is in progress; the others' contexts end.
func First[T any](ctx context.Context, interval time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	type ended struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	results := make(chan ended)
	begin := func() {
		group.Go(func() {
			value, err := call(ctx)
			select {
			case results <- ended{value, err}:
			case <-ctx.Done():
			}
		})
	}
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	begin()
	for pending := 1; ; {
		select {
		case e := <-results:
			if pending--; e.err == nil || pending == 0 {
				return e.value, e.err
			}
		case <-ticker.C:
			begin()
			pending++
		case <-ctx.Done():
			var none T
			return none, ctx.Err()
		}
	}
}
