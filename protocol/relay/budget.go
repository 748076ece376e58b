package relay

import (
	"sync"
	"time"
)

// RetryLimits says how many dispatches beyond the first of each request the fleet may make.
type RetryLimits struct {
	Ratio     float64       // for each request
	Extra     int           // and so many besides, by all instances
	Window    time.Duration // in which both are counted
	Instances int           // that share the extra ones
}

// Budget counts one service's requests and repeated dispatches at this instance. It answers the load pattern of a service that
// fails much of its work: repeats would add to the load that makes it fail. It has no clock; it is safe for concurrent use.
type Budget struct {
	mutex    sync.Mutex
	requests [bucketCount]int
	repeats  [bucketCount]int
	bucket   int64
	began    time.Time
}

// CountRequest counts a request.
func (b *Budget) CountRequest(window time.Duration, now time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(window, now)
	b.requests[b.bucket%bucketCount]++
}

// Take counts a repeated dispatch if the allowance has room for it, and tells whether it has.
func (b *Budget) Take(a RetryLimits, now time.Time) bool {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.advance(a.Window, now)
	requests, repeats := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}
	most := a.Ratio*float64(requests) + float64(a.Extra)/float64(max(a.Instances, 1))
	if float64(repeats+1) > budgetReserve*most {
		return false
	}
	b.repeats[b.bucket%bucketCount]++
	return true
}

// advance empties the parts of the window that have passed.
func (b *Budget) advance(window time.Duration, now time.Time) {
	if b.began.IsZero() {
		b.began = now
	}
	bucket := int64(now.Sub(b.began) / max(window/bucketCount, 1))
	for steps := 0; b.bucket < bucket && steps < bucketCount; steps++ {
		b.bucket++
		b.requests[b.bucket%bucketCount], b.repeats[b.bucket%bucketCount] = 0, 0
	}
	b.bucket = max(b.bucket, bucket)
}

// Budgets holds each service's budget; the zero value is ready.
type Budgets struct {
	mutex    sync.Mutex
	services map[string]*Budget
}

// Of returns the budget of a service.
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
