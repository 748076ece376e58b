package hosted

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
	"dogwooddyke/state/position"
)

// consumer reads one topic of the log, first its current list of records and then each new record.
type consumer struct {
	instance      *Instance
	topic         string
	maximumWait   time.Duration                                          // maximum wait of one read for new records
	restart       chan struct{}                                          // receives requests to cancel the current read and start another one; nil: none
	onRegained    func()                                                 // called when the log is available again, or has answered a call lostCallMargin after it was due; nil: not called
	pause         func(ctx context.Context) error                        // waits before a read unless the previous call failed; nil: no wait
	onList        func(records []platform.Record, end position.Position) // called with the newest record of each key, and the position after them
	onRecords     func(records []platform.Record)                        // called with the records of a read, if any
	onRead        func(next position.Position)                           // called after each read with the position of the next one; nil: not called
	lost          *atomic.Bool                                           // set while calls to the log fail; nil: not set
	next          position.Position                                      // log position up to which all records have been processed
	lostPosition  position.Position                                      // value of next when the latest outage of the log began; an overdue call counts as an outage
	latestFailure time.Time                                              // time of the latest call that failed or was overdue
	failures      int                                                    // consecutive failed calls
	uselessLists  int                                                    // consecutive lists after which no read succeeded
}

// run consumes the topic until the context ends.
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
		c.onList(newest.records, newest.next)
		c.next = newest.next
		c.uselessLists++
		c.pauseBeforeList(ctx, c.readRecords(ctx))
	}
}

// readRecords reads and processes records from the current position on. It returns an error if the log no longer has the position, and nil
// if the context ends.
func (c *consumer) readRecords(ctx context.Context) error {
	for ctx.Err() == nil {
		if c.pause != nil && c.failures == 0 && c.pause(ctx) != nil {
			return nil
		}
		records, next, err := c.readOnce(ctx)
		if errors.Is(err, platform.ErrExpired) || errors.Is(err, platform.ErrRestored) {
			return err
		}
		if errors.Is(err, errRestarted) {
			continue
		}
		if err != nil {
			c.backOff(ctx, err)
			continue
		}
		c.recordSuccess()
		c.next, c.uselessLists = next, 0
		if len(records) > 0 {
			c.onRecords(records)
		}
		if c.onRead != nil {
			c.onRead(next)
		}
	}
	return nil
}

// pauseBeforeList waits before the topic is listed again because the log does not have the current position. After a restore of the log
// all instances list their topics, so each waits for a random time. A log that keeps deleting what it has just listed is retried with
// exponential backoff.
func (c *consumer) pauseBeforeList(ctx context.Context, cause error) {
	pause := time.Duration(0)
	if errors.Is(cause, platform.ErrRestored) {
		pause = rand.N(listSpread)
	}
	if c.uselessLists > 1 {
		c.instance.logger.Warn("records are gone right after they were listed", "topic", c.topic, "lists", c.uselessLists, "error", cause)
		pause = max(pause, wait.Jitter(min(baseBackoff<<min(c.uselessLists, 5), maximumBackoff)))
	}
	_ = wait.For(ctx, pause) // an ended context ends the loop
}

// errRestarted reports that a read was cancelled in order to start another one.
var errRestarted = errors.New("read was restarted")

// readOnce makes one read from the current position on and returns its records and the position after them.
func (c *consumer) readOnce(ctx context.Context) ([]platform.Record, position.Position, error) {
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
		maximumWait = 0 // without a wait, the log answers as soon as it is available again
	}
	result, err := c.call(ctx, maximumWait, func(ctx context.Context) (readResult, error) {
		return newReadResult(c.instance.log.Read(ctx, c.topic, c.next, maximumWait))
	})
	if err != nil && errors.Is(context.Cause(ctx), errRestarted) {
		return nil, c.next, errRestarted
	}
	return result.records, result.next, err
}

// readResult is the log's response to a read of a topic.
type readResult struct {
	records []platform.Record
	next    position.Position // log position of the next read
}

func newReadResult(records []platform.Record, next position.Position, err error) (readResult, error) {
	return readResult{records, next}, err
}

// call calls the log, which may wait for records. When the response is overdue, further calls are started in parallel, on new connections, and the first
// success is used. So a log that is available only for a moment between two outages is noticed, a slow response is still awaited,
// and a call that the log accepted and lost blocks nothing.
func (c *consumer) call(ctx context.Context, maximumWait time.Duration, call func(ctx context.Context) (readResult, error)) (readResult, error) {
	due := time.Now().Add(maximumWait + probeInterval)
	interval := maximumWait + probeInterval
	if c.failures > 0 && !c.shouldProbe() {
		interval = maximumWait + nonProberInterval
	}
	result, err := wait.First(ctx, interval, onNewConnections(c.instance.log, call))
	now := time.Now()
	if err == nil && now.After(due) {
		c.recordFailure(now)
	}
	if err == nil && c.failures == 0 && c.onRegained != nil && now.After(due.Add(lostCallMargin)) {
		c.onRegained()
	}
	return result, err
}

// shouldProbe reports whether this instance is one of the few that retry a lost log often; the others learn of changes from reports.
func (c *consumer) shouldProbe() bool { return c.instance.gossiper.shouldProbe(time.Now()) }

// recordFailure records that the log has not answered until now.
func (c *consumer) recordFailure(now time.Time) {
	c.latestFailure = now
	if c.failures == 0 {
		c.lostPosition = c.next
	}
}

// backOff records a failed call and waits before the next one, with exponential backoff if this instance should probe the log, and
// otherwise while other instances probe it.
func (c *consumer) backOff(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	c.recordFailure(time.Now())
	c.failures++
	if c.lost != nil {
		c.lost.Store(true)
	}
	if c.failures == 1 {
		c.instance.logger.Warn("log lost", "topic", c.topic, "error", err.Error())
	}
	if !c.shouldProbe() {
		c.awaitProbers(ctx)
		return
	}
	pause := min(baseBackoff<<min(c.failures, 5), maximumBackoff)
	if errors.Is(err, context.DeadlineExceeded) {
		pause = baseBackoff // the call's timeout has already been a pause
	}
	_ = wait.For(ctx, wait.Jitter(pause)) // an ended context ends the loop
}

// awaitProbers waits while other instances probe the log, until they know a change that this instance does not know, or for about
// nonProberInterval.
func (c *consumer) awaitProbers(ctx context.Context) {
	deadline := time.Now().Add(wait.Jitter(nonProberInterval))
	if wait.For(ctx, wait.Jitter(maximumBackoff)) != nil {
		return
	}
	for time.Now().Before(deadline) && !c.instance.knownPosition().Before(c.instance.gossiper.latest(time.Now())) {
		if c.instance.awaitNews(ctx, readCheckInterval) != nil {
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
	if c.lost != nil {
		c.lost.Store(false)
	}
}
