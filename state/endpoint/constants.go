package endpoint

import "time"

const (
	targetInterval   = 50 * time.Millisecond // mean time between tokens that the knee aims at
	priorBase        = 0.020                 // seconds of a step before its batch
	priorSlope       = 0.0008                // seconds that each generation adds to a step
	priorPoints      = 2.0                   // observations that each point of the prior counts as
	priorBatch       = 16.0                  // batch at the prior's second point
	speedDecay       = 0.995                 // factor on former observations at each new one
	maximumStep      = 5 * time.Second       // longer intervals are stalls, not steps
	kneeGrowth       = 1.25                  // of the largest batch seen is the most that the knee may be
	kneeSpare        = 4                     // generations that the knee may be above that
	seenDecay        = 0.9995                // factor on the largest batch seen at each observation
	minimumKnee      = 2
	maximumKnee      = 512
	maximumBlocks    = 8192 // blocks kept of each endpoint
	evictionSample   = 8    // blocks of which the least used is evicted
	gapFactor        = 0.7  // trust left in a block after each gap in the events
	errorDecay       = 0.9  // factor on former outcomes at each new one
	ejectErrors      = 0.5  // rate of errors at which an endpoint is an outlier
	ejectOutcomes    = 3    // weight of outcomes needed for that
	ejectSlowness    = 4    // times the median interval at which an endpoint is an outlier
	firstEjection    = 3 * time.Second
	longestEjection  = 15 * time.Second
	defaultInterval  = 30 * time.Millisecond // interval of an endpoint that was not observed
	slownessSamples  = 8                     // observations needed to compare an endpoint's interval
	recentDecay      = 0.9
	forgetEjectAfter = 2 * time.Minute
)
