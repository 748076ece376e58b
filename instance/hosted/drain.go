package hosted

import (
	"context"
	"time"

	"dogwooddyke/coordination/shutdown"
	"dogwooddyke/internal/wait"
)

// Drain ends the requests in progress as the plan of the shutdown says, and returns when they have ended, or shortly before the platform ends the
// process; Close ends those that are left then. Requests that can't be served whole in the time left are refused, whenever they come.
func (i *Instance) Drain() {
	now := time.Now()
	plan := shutdown.NewPlan(now, i.settings.Grace)
	i.plan.Store(&plan)
	i.draining.Store(true)
	i.logger.Info("draining", "inFlight", i.front.InFlight(), "queued", i.router.QueueSize(), "answersMs", plan.Answers.Sub(now).Milliseconds(), "endMs", plan.End.Sub(now).Milliseconds())
	i.router.SetClosing(plan.Answers, now)
	answers := time.AfterFunc(plan.Answers.Sub(now), func() {
		i.lines.Extend()
		i.logger.Info("requests without an answer are ended", "inFlight", i.front.InFlight(), "queued", i.router.QueueSize())
		i.close()
		i.connections.growSendBuffers()
	})
	defer answers.Stop()
	i.connections.stop(plan.Close)
	ctx, cancel := context.WithDeadline(context.Background(), plan.End)
	defer cancel()
	_ = wait.For(ctx, plan.Listen.Sub(now)) // it ends before the context
	_ = i.callerListener.Close()            // fails only if it is closed already
	if err := i.connections.awaitEnd(ctx); err != nil {
		i.logger.Warn("answers are cut off, since draining timed out", "inFlight", i.front.InFlight())
	}
}
