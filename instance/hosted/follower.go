package hosted

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform"
)

// follower reads one topic of the log from its newest records on.
type follower struct {
	instance *Instance
	topic    string
	wait     time.Duration                   // for records, at most
	again    chan struct{}                   // has the present read ended and begun anew; nil: never
	back     func()                          // called when the log serves again; nil: not
	pause    func(ctx context.Context) error // waits between two reads; nil: not at all
	list     func(records []platform.Record, end int64)
	take     func(records []platform.Record)
	reached  func(offset int64) // called with the offset up to which all records were taken; nil: not
	offset   int64              // up to which all records were taken
	lostAt   int64              // the offset when the log was lost
	failed   time.Time          // when a call had last failed, or was overdue
	failures int
}

// run follows the topic until the context ends.
func (f *follower) run(ctx context.Context) {
	for ctx.Err() == nil {
		newest, err := f.ask(ctx, 0, func(ctx context.Context) (answer, error) {
			return answered(f.instance.log.Newest(ctx, f.topic))
		})
		if err != nil {
			f.rest(ctx, err)
			continue
		}
		f.regained()
		f.list(newest.records, newest.offset)
		f.offset = newest.offset
		f.read(ctx)
	}
}

// read takes the records from the offset on until some have expired.
func (f *follower) read(ctx context.Context) {
	for ctx.Err() == nil {
		records, next, err := f.once(ctx)
		if errors.Is(err, platform.ErrExpired) {
			return
		}
		if errors.Is(err, errAgain) {
			continue
		}
		if err != nil {
			f.rest(ctx, err)
			continue
		}
		f.regained()
		f.offset = next
		if len(records) > 0 {
			f.take(records)
		}
		if f.reached != nil {
			f.reached(next)
		}
		if f.pause != nil && f.pause(ctx) != nil {
			return
		}
	}
}

// errAgain reports a read that was ended to begin anew.
var errAgain = errors.New("read is to begin anew")

// once reads one time.
func (f *follower) once(ctx context.Context) ([]platform.Record, int64, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stop := make(chan struct{})
	defer close(stop)
	if f.again != nil {
		go func() {
			select {
			case <-f.again:
				cancel(errAgain)
			case <-stop:
			}
		}()
	}
	waits := f.wait
	if f.failures > 0 {
		waits = 0 // a log that is back answers at once
	}
	read, err := f.ask(ctx, waits, func(ctx context.Context) (answer, error) {
		return answered(f.instance.log.Read(ctx, f.topic, f.offset, waits))
	})
	if err != nil && errors.Is(context.Cause(ctx), errAgain) {
		return nil, f.offset, errAgain
	}
	return read.records, read.offset, err
}

// answer is what the log said of a topic.
type answer struct {
	records []platform.Record
	offset  int64 // to read on from
}

func answered(records []platform.Record, offset int64, err error) (answer, error) {
	return answer{records, offset}, err
}

// ask calls the log, which may wait for records. Further calls begin beside those whose answer is overdue: a log that serves for a
// moment between two outages is heard, one that is slow is waited for, and a call that it took and forgot holds up nothing.
func (f *follower) ask(ctx context.Context, waits time.Duration, call func(ctx context.Context) (answer, error)) (answer, error) {
	due := time.Now().Add(waits + probeInterval)
	interval := waits + probeInterval
	if f.failures > 0 && !f.probes() {
		interval = waits + othersProbe
	}
	a, err := wait.First(ctx, interval, call)
	now := time.Now()
	if err == nil && now.After(due) {
		f.silent(now)
	}
	if err == nil && f.failures == 0 && f.back != nil && now.After(due.Add(lostCall)) {
		f.back()
	}
	return a, err
}

// probes tells whether this instance is one of the few that ask often while the log is lost; the others hear by them.
func (f *follower) probes() bool { return f.instance.exchange.probes(time.Now()) }

// silent notes that the log gave no answer until now.
func (f *follower) silent(now time.Time) {
	f.failed = now
	if f.failures == 0 {
		f.lostAt = f.offset
	}
}

// rest waits after a failure, for longer each time.
func (f *follower) rest(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	f.silent(time.Now())
	f.failures++
	if f.failures == 1 {
		f.instance.logger.Warn("log lost", "topic", f.topic, "error", err.Error())
	}
	if !f.probes() {
		f.leave(ctx)
		return
	}
	pause := min(firstBackoff<<min(f.failures, 5), longestPause)
	if errors.Is(err, context.DeadlineExceeded) {
		pause = firstBackoff // it was silent, so it has had its pause
	}
	_ = wait.For(ctx, wait.Jitter(pause)) // an ended context ends the loop
}

// leave leaves it to others to ask for the log, until they know of a change that this instance does not, or for othersProbe.
func (f *follower) leave(ctx context.Context) {
	until := time.Now().Add(wait.Jitter(othersProbe))
	if wait.For(ctx, wait.Jitter(longestPause)) != nil {
		return
	}
	for time.Now().Before(until) && f.instance.exchange.latest(time.Now()) <= f.instance.covered() {
		if wait.For(ctx, readLook) != nil {
			return
		}
	}
}

func (f *follower) regained() {
	if f.failures > 0 {
		f.instance.logger.Info("log regained", "topic", f.topic, "failures", f.failures)
		if f.back != nil {
			f.back()
		}
	}
	f.failures = 0
}
