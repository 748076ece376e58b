package relay

import (
	"sync"
	"time"
)

// RetryLimits limits the dispatches beyond the first of each request that all instances together may make for one service.
type RetryLimits struct {
	Ratio     float64       // retries per request
	Extra     int           // retries in the window that all instances together may make in addition
	Window    time.Duration // length of the sliding window in which requests and retries are counted
	Instances int           // number of instances among which Extra is divided
}

// Budget is the retry budget of one service at this instance. It counts requests and retries in a sliding window: when a service
// fails many of its requests, unlimited retries would add to the load that makes it fail. Callers pass the current time. It is safe
// for concurrent use.
type Budget struct {
	mutex       sync.Mutex
	requests    [bucketCount]int // requests in each bucket of the window
	retries     [bucketCount]int // retries in each bucket of the window
	bucketIndex int64            // number of buckets from start to the current one
	start       time.Time        // when the first bucket began
}

// CountRequest adds a request to the window.
func (b *Budget) CountRequest(window time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(window, now)
	b.requests[b.bucketIndex%bucketCount]++
}

// Take counts a retry if the limits allow it, and reports whether they do.
func (b *Budget) Take(limits RetryLimits, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if !b.allows(limits, now) {
		return false
	}
	b.retries[b.bucketIndex%bucketCount]++
	return true
}

// Return takes back the latest retry that was counted, since it was not made.
func (b *Budget) Return() {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for n := range int64(bucketCount) {
		if i := (b.bucketIndex - n + bucketCount) % bucketCount; b.retries[i] > 0 {
			b.retries[i]--
			return
		}
	}
}

// Allows reports whether the limits allow a retry.
func (b *Budget) Allows(limits RetryLimits, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.allows(limits, now)
}

func (b *Budget) allows(limits RetryLimits, now time.Time) bool {
	b.advance(limits.Window, now)
	requests, retries := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		retries += b.retries[i]
	}
	allowed := limits.Ratio*float64(requests) + float64(limits.Extra)/float64(max(limits.Instances, 1))
	return float64(retries+1) <= usableBudgetFraction*allowed
}

// advance moves the window forward to the given time and clears the buckets that are reused.
func (b *Budget) advance(window time.Duration, now time.Time) {
	if b.start.IsZero() {
		b.start = now
	}
	bucket := int64(now.Sub(b.start) / max(window/bucketCount, 1))
	for steps := 0; b.bucketIndex < bucket && steps < bucketCount; steps++ {
		b.bucketIndex++
		b.requests[b.bucketIndex%bucketCount], b.retries[b.bucketIndex%bucketCount] = 0, 0
	}
	b.bucketIndex = max(b.bucketIndex, bucket)
}

// Budgets holds the retry budget of each service; the zero value is ready to use.
type Budgets struct {
	mutex    sync.Mutex
	services map[string]*Budget
}

// Of returns the retry budget of a service, and creates it if there is none.
func (b *Budgets) Of(service string) *Budget {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if b.services == nil {
		b.services = make(map[string]*Budget)
	}
	budget := b.services[service]
	if budget == nil {
		budget = &Budget{}
		b.services[service] = budget
	}
	return budget
}
