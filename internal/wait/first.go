package wait

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// First makes the call, and again beside those in progress each time that the interval has passed; it returns what the first one of
// them to end returned. The others' contexts end.
func First[T any](ctx context.Context, interval time.Duration, call func(ctx context.Context) (T, error)) (T, error) {
	type ended struct {
		value T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	var group conc.WaitGroup
	defer group.Wait()
	defer cancel()
	first := make(chan ended, 1)
	for {
		group.Go(func() {
			value, err := call(ctx)
			select {
			case first <- ended{value, err}:
			default:
			}
		})
		timer := time.NewTimer(interval)
		select {
		case e := <-first:
			timer.Stop()
			return e.value, e.err
		case <-timer.C:
		}
	}
}
