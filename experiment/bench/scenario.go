package bench

import "time"

// Fault is what goes wrong in the middle of a run.
type Fault string

// The faults.
const (
	FaultNone  Fault = ""
	FaultSlow  Fault = "slowEngine"   // the fastest engine of each entry runs at a quarter of its speed
	FaultStale Fault = "staleLoad"    // the loads of half of the engines stand still
	FaultHalf  Fault = "halfGone"     // half of each entry's engines die
	FaultCut   Fault = "cutOff"       // half of the instances get no answers from stewards
	FaultNoisy Fault = "noisyTenfold" // the smallest workspace asks for ten times its limit, all the time
)

// Scenario is one run to compare policies on.
type Scenario struct {
	Deployment string
	Load       float64       // as a part of capacity
	Lag        time.Duration // of the engines' load reports
	Burst      bool          // arrivals come at 0.5 and 2 times the rate in turn
	Fault      Fault
	Span       time.Duration
	Seed       uint64
}
