package standing

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"
)

// Run asks endpoints that may be leaving until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	var questions conc.WaitGroup
	defer questions.Wait()
	for ctx.Err() == nil {
		due, next := x.due(time.Now())
		for _, e := range due {
			questions.Go(func() { x.ask(ctx, e) })
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
		case <-x.wake:
		case <-timer.C:
		}
		timer.Stop()
	}
}

// ask asks one endpoint.
func (x *Exchange) ask(ctx context.Context, e Endpoint) {
	err := x.config.Asker.Ask(ctx, e)
	x.config.Observer.Asked(e, err)
	x.mutex.Lock()
	if st := x.states[e.Process]; st != nil {
		st.departure.asked(time.Now())
	}
	x.mutex.Unlock()
	signal(x.wake)
}

// due returns the endpoints that are to be asked now, and the time until the next one is.
func (x *Exchange) due(now time.Time) ([]Endpoint, time.Duration) {
	x.mutex.Lock()
	defer x.mutex.Unlock()
	var due []Endpoint
	next := idlePause
	for p, st := range x.states {
		e := x.endpoints[p]
		switch d := &st.departure; {
		case e.Listed:
		case d.ask(now):
			due = append(due, e)
		case !d.doubtedAt.IsZero() && !d.asking:
			next = min(next, d.askAt.Sub(now))
		}
	}
	return due, next
}

// signal sends to a channel of capacity one unless a value is pending.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
