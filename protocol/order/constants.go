package order

import "time"

// Timeouts and intervals.
const (
	Timeout                 = 4 * time.Second        // of one order; no order is sent when the lease expires within this time
	MaximumOrderDelay       = time.Minute            // how long an order with unknown outcome may still take effect; until then its engine is not counted as certainly ready
	BusyInterval            = 2 * time.Second        // between two checks of an entry while a change is in progress
	SteadyIntervalMinimum   = 5 * time.Second        // shortest interval between two checks of an entry in the desired state
	SteadyIntervalMaximum   = 30 * time.Second       // longest such interval, used with many engines
	steadyIntervalPerEngine = 500 * time.Millisecond // part of the interval for each engine, within the bounds above
	readTimeout             = 2 * time.Second        // for reading the report of one engine
	tickInterval            = 500 * time.Millisecond // between two calls of Reconcile
	initialBackoff          = 4 * time.Second        // after the first order to an engine
	maximumBackoff          = 2 * time.Minute        // between two orders to an engine
)

// Limits on concurrency.
const (
	maximumConcurrentReads = 16 // reports of an entry's engines read at the same time
	maximumConcurrentSends = 8  // orders of an entry sent at the same time
	loadingDivisor         = 4  // a rolling change loads at most 1/loadingDivisor of an entry's engines at the same time, but at least one
)
