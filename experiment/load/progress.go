package load

import (
	"fmt"
	"time"

	"github.com/sourcegraph/conc"
)

// showProgress rewrites one line until the returned function is called.
func showProgress(o *Options, r *recorder, started time.Time) (stop func()) {
	if o.Progress == nil {
		return func() {}
	}
	done := make(chan struct{})
	var shown conc.WaitGroup
	shown.Go(func() {
		tick := time.NewTicker(progressInterval)
		defer tick.Stop()
		for {
			select {
			case <-done:
				fmt.Fprint(o.Progress, "\r\033[K")
				return
			case <-tick.C:
				fmt.Fprintf(o.Progress, "\r\033[K%4.0fs  sent %d  ended %d  open %d  wrong %d",
					time.Since(started).Seconds(), r.sent.Load(), r.ended.Load(), r.open.Load(), r.bad.Load())
			}
		}
	})
	return func() {
		close(done)
		shown.Wait()
	}
}
