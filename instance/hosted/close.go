package hosted

import (
	"context"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/coordination/shutdown"
)

// LineQueue holds the lines of a logger until they are written.
type LineQueue interface {
	// Extend lets more lines be queued, since the last ones of the process follow.
	Extend()
	// Dropped returns how many lines were dropped.
	Dropped() int64
}

// noQueue is that of a logger that writes its lines at once.
type noQueue struct{}

func (noQueue) Extend()        {}
func (noQueue) Dropped() int64 { return 0 }

// SetLines sets the queue of the logger's lines; it must be called before Start.
func (i *Instance) SetLines(queue LineQueue) { i.lines = queue }

// Close stops the instance: it ends the requests that are in progress, closes all connections, and returns when the instance's goroutines have ended.
// After Drain it returns without them once the plan's time is over.
func (i *Instance) Close() {
	plan := i.plan.Load()
	drained := plan != nil
	if !drained {
		now := shutdown.Now(time.Now())
		plan = &now
	}
	i.lines.Extend()
	i.endRequests(plan)
	i.stop()
	_ = i.readinessServer.Close()
	_ = i.metricsServer.Close()
	_ = i.gossiper.socket.Close()
	ended := i.awaitGoroutines(plan, drained)
	i.logger.Info("stopped", "cut", i.observer.cut.Load(), "unknown", i.observer.unknown.Load(), "notRun", i.observer.notRun.Load(), "droppedLines", i.lines.Dropped(), "complete", ended)
}

// endRequests ends the requests in progress and then closes the callers' connections, so that each request ends with its cause and is logged before
// its connection is gone. What is there for callers is sent until the plan's time for closing.
func (i *Instance) endRequests(plan *shutdown.Plan) {
	i.close()
	i.end()
	taking, cancel := context.WithDeadline(context.Background(), plan.Close)
	defer cancel()
	err := i.connections.awaitAnswers(taking)
	i.cut()
	if err != nil {
		ending, cancel := context.WithDeadline(context.Background(), plan.Stop)
		defer cancel()
		if err := i.connections.awaitAnswers(ending); err != nil {
			i.logger.Warn("requests have not ended", "inFlight", i.front.InFlight())
		}
	}
	i.connections.endLinger(time.Now())
	_ = i.callerServer.Close()
}

// awaitGoroutines waits until the instance's goroutines have ended, after a planned stop until the plan's time at most, and reports whether they have.
func (i *Instance) awaitGoroutines(plan *shutdown.Plan, planned bool) bool {
	ended := make(chan struct{})
	var group conc.WaitGroup
	group.Go(func() {
		defer close(ended)
		i.node.Close()
		i.runner.Wait()
		i.group.Wait()
	})
	if !planned {
		<-ended
		return true
	}
	timer := time.NewTimer(time.Until(plan.Stop))
	defer timer.Stop()
	select {
	case <-ended:
		return true
	case <-timer.C:
		return false
	}
}

// ExitTime returns when the process of an instance that is closed now has to end: soon, and after Drain by the plan's time.
func (i *Instance) ExitTime() time.Time {
	soon := shutdown.Now(time.Now()).Exit
	if plan := i.plan.Load(); plan != nil && plan.Exit.Before(soon) {
		return plan.Exit
	}
	return soon
}
