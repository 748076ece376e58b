package shutdown

import "time"

const (
	listenTime   = 2500 * time.Millisecond // in which the load balancer learns that the instance is not ready
	answerMargin = 300 * time.Millisecond  // in which the instance's own answers reach callers before connections are closed
	exitMargin   = 400 * time.Millisecond  // between the end of all requests and the time at which the platform ends the process

	// Of a short grace period each margin is at most a part.
	listenDivisor = 3
	marginDivisor = 8

	closeDivisor = 4 // of exitMargin, within which callers take the rest of their answers
	stopDivisor  = 2 // likewise, within which what else runs ends
)

// Plan is when an instance that is being stopped does what.
type Plan struct {
	Listen  time.Time // until which connections are accepted
	Answers time.Time // until which endpoints may answer; a request that is unanswered then gets the instance's own answer
	End     time.Time // when requests in progress are ended
	Close   time.Time // when all connections are closed; earlier if no request is in progress any more
	Stop    time.Time // until which the end of what else runs is waited for
	Exit    time.Time // when the process ends, also if its last lines have not been read
}

// NewPlan returns the plan of an instance that is told to stop at the time began, and that the platform ends after the grace period.
func NewPlan(began time.Time, grace time.Duration) Plan {
	part := grace / marginDivisor
	margin := min(exitMargin, part)
	p := endAt(began.Add(grace-margin), margin)
	p.Listen = began.Add(min(listenTime, grace/listenDivisor))
	p.Answers = p.End.Add(-min(answerMargin, part))
	return p
}

// Now returns the plan of an instance that ends at once.
func Now(now time.Time) Plan {
	p := endAt(now, exitMargin)
	p.Listen, p.Answers = now, now
	return p
}

func endAt(end time.Time, margin time.Duration) Plan {
	stop := margin / stopDivisor
	return Plan{End: end, Close: end.Add(margin / closeDivisor), Stop: end.Add(stop), Exit: end.Add(stop + margin/closeDivisor)}
}
