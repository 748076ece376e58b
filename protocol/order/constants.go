package order

import "time"

// Times of orders.
const (
	Timeout                 = 4 * time.Second  // of one order; none is sent with less of the lease left
	MaximumOrderDelay       = time.Minute      // after an order whose outcome is unknown, the engine does not count as ready for this long
	BusyInterval            = 2 * time.Second  // between two looks at an entry's engines while a change is under way
	SteadyIntervalMinimum   = 5 * time.Second  // between two looks while all is as it should be
	SteadyIntervalMaximum   = 30 * time.Second // the same with many engines
	steadyIntervalPerEngine = 500 * time.Millisecond
	readTimeout             = 2 * time.Second
	tickInterval            = 500 * time.Millisecond
	initialBackoff          = 4 * time.Second
	maximumBackoff          = 2 * time.Minute
)

// Bounds.
const (
	maximumConcurrentReads = 16 // questions to engines at once
	maximumConcurrentSends = 8  // orders at once
	loadingDivisor         = 4  // of an entry's engines at most one part is loading because of a rolling change
)
