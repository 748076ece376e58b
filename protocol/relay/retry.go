package relay

import "time"

// retryAt returns when a caller whose request was not run should retry. When many requests are refused at the same moment, their
// callers would all retry at the same moment. Each retry is therefore delayed by a random time up to the length of the wait itself, and
// requests of higher priority are retried earlier. The estimate is when a slot is expected to be free; zero if unknown. The random
// number must be uniformly distributed from 0 to 1.
func retryAt(now, estimate time.Time, priority int, random float64) time.Time {
	wait := max(estimate.Sub(now), minimumRetryDelay)
	if estimate.IsZero() {
		wait = minimumRetryDelay
	}
	priorityDelay := time.Duration(min(max(priority, 0), lowestPriority)) * priorityRetryDelay
	spread := time.Duration(random * float64(wait+priorityDelay))
	return now.Add(wait + priorityDelay + spread)
}

// retryElsewhereAt returns when a caller should retry a request that this instance does not run because it closes: at once, since another instance
// gets the retry, but not all at the same moment. The random number must be uniformly distributed from 0 to 1.
func retryElsewhereAt(now time.Time, random float64) time.Time {
	return now.Add(time.Duration(random * float64(closingRetrySpread)))
}
