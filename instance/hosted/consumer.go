package hosted

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
)

// follower reads one topic of the log from its newest records on.
type consumer struct {
	instance      *Instance
	topic         string
	maximumWait   time.Duration                   // for records, at most
	restart       chan struct{}                   // has the present read ended and begun anew; nil: never
	onRegained    func()                          // called when the log serves again; nil: not
	pause         func(ctx context.Context) error // waits between two reads; nil: not at all
	onList        func(records []platform.Record, end int64)
	onRecords     func(records []platform.Record)
	onOffset      func(offset int64) // called with the offset up to which all records were taken; nil: not
	offset        int64              // up to which all records were taken
	lostOffset    int64              // the offset when the log was lost
	latestFailure time.Time          // when a call had last failed, or was overdue
	failures      int
}

// run follows the topic until the context ends.
func (c *consumer) run(ctx context.Context) {
	for ctx.Err() == nil {
		newest, err := c.call(ctx, 0, func(ctx context.Context) (readResult, error) {
			return newReadResult(c.instance.log.Newest(ctx, c.topic))
		})
		if err != nil {
			c.backOff(ctx, err)
			continue
		}
		c.recordSuccess()
		c.onList(newest.records, newest.offset)
		c.offset = newest.offset
		c.readRecords(ctx)
	}
}

// read takes the records from the offset on until some have expired.
func (c *consumer) readRecords(ctx context.Context) {
	for ctx.Err() == nil {
		records, next, err := c.readOnce(ctx)
		if errors.Is(err, platform.ErrExpired) {
			return
		}
		if errors.Is(err, errRestarted) {
			continue
		}
		if err != nil {
			c.backOff(ctx, err)
			continue
		}
		c.recordSuccess()
		c.offset = next
		if len(records) > 0 {
			c.onRecords(records)
		}
		if c.onOffset != nil {
			c.onOffset(next)
		}
		if c.pause != nil && c.pause(ctx) != nil {
			return
		}
	}
}

// errAgain reports a read that was ended to begin anew.
var errRestarted = errors.New("read is to begin anew")

// once reads one time.
func (c *consumer) readOnce(ctx context.Context) ([]platform.Record, int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	if c.restart != nil {
		go func() {
			select {
			case <-c.restart:
				cancel(errRestarted)
			case <-stop:
			}
		}()
	}
	maximumWait := c.maximumWait
	if c.failures > 0 {
		maximumWait = 0 // a log that is back answers at once
	}
	result, err := c.call(ctx, maximumWait, func(ctx context.Context) (readResult, error) {
		return newReadResult(c.instance.log.Read(ctx, c.topic, c.offset, maximumWait))
	})
	if err != nil && errors.Is(context.Cause(ctx), errRestarted) {
		return nil, c.offset, errRestarted
	}
	return result.records, result.offset, err
}

// answer is what the log said of a topic.
type readResult struct {
	records []platform.Record
	offset  int64 // to read on from
}

func newReadResult(records []platform.Record, offset int64, err error) (readResult, error) {
	return readResult{records, offset}, err
}

// ask calls the log, which may wait for records. Further calls begin beside those whose answer is overdue: a log that serves for a
// moment between two outages is heard, one that is slow is waited for, and a call that it took and forgot holds up nothing.
func (c *consumer) call(ctx context.Context, maximumWait time.Duration, call func(ctx context.Context) (readResult, error)) (readResult, error) {
	due := time.Now().Add(maximumWait + probeInterval)
	interval := maximumWait + probeInterval
	if c.failures > 0 && !c.shouldProbe() {
		interval = maximumWait + otherProbeInterval
	}
	result, err := wait.First(ctx, interval, call)
	now := time.Now()
	if err == nil && now.After(due) {
		c.recordFailure(now)
	}
	if err == nil && c.failures == 0 && c.onRegained != nil && now.After(due.Add(lostCallMargin)) {
		c.onRegained()
	}
	return result, err
}

// probes tells whether this instance is one of the few that ask often while the log is lost; the others hear by them.
func (c *consumer) shouldProbe() bool { return c.instance.gossiper.shouldProbe(time.Now()) }

// silent notes that the log gave no answer until now.
func (c *consumer) recordFailure(now time.Time) {
	c.latestFailure = now
	if c.failures == 0 {
		c.lostOffset = c.offset
	}
}

// rest waits after a failure, for longer each time.
func (c *consumer) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.recordFailure(time.Now())
	c.failures++
	if c.failures == 1 {
		c.instance.logger.Warn("log lost", "topic", c.topic, "error", err.Error())
	}
	if !c.shouldProbe() {
		c.waitForProbers(ctx)
		return
	}
	pause := min(firstBackoff<<min(c.failures, 5), maximumBackoff)
	if errors.Is(err, context.DeadlineExceeded) {
		pause = firstBackoff // it was silent, so it has had its pause
	}
	_ = wait.For(ctx, wait.Jitter(pause)) // an ended context ends the loop
}

// leave leaves it to others to ask for the log, until they know of a change that this instance does not, or for othersProbe.
func (c *consumer) waitForProbers(ctx context.Context) {
	until := time.Now().Add(wait.Jitter(otherProbeInterval))
	if wait.For(ctx, wait.Jitter(maximumBackoff)) != nil {
		return
	}
	for time.Now().Before(until) && c.instance.gossiper.latestOffset(time.Now()) <= c.instance.knownOffset() {
		if wait.For(ctx, readCheckInterval) != nil {
			return
		}
	}
}

func (c *consumer) recordSuccess() {
	if c.failures > 0 {
		c.instance.logger.Info("log regained", "topic", c.topic, "failures", c.failures)
		if c.onRegained != nil {
			c.onRegained()
		}
	}
	c.failures = 0
}
