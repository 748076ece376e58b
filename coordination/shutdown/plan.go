package shutdown

import "time"

const (
	listenTime   = 2500 * time.Millisecond // in which the load balancer learns that the instance is not ready
	answerMargin = 300 * time.Millisecond  // in which the instance's own answers reach callers before connections are closed
	exitMargin   = 400 * time.Millisecond  // between the close of all connections and the time at which the platform ends the process

	// Of a short grace period each margin is at most a part.
	listenDivisor = 3
	marginDivisor = 8
)

// Plan is when an instance that is being stopped does what.
type Plan struct {
	Listen  time.Time // until which connections are accepted
	Answers time.Time // until which endpoints may answer; a request that is unanswered then gets the instance's own answer
	End     time.Time // when all connections are closed
}

// NewPlan returns the plan of an instance that is told to stop at the time began, and that the platform ends after the grace period.
func NewPlan(began time.Time, grace time.Duration) Plan {
	part := grace / marginDivisor
	end := began.Add(grace - min(exitMargin, part))
	return Plan{
		Listen:  began.Add(min(listenTime, grace/listenDivisor)),
		Answers: end.Add(-min(answerMargin, part)),
		End:     end,
	}
}
