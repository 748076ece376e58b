package endpoint

import "time"

const (
	targetInterval       = 50 * time.Millisecond // mean time between tokens that a batch at the knee is meant to keep
	priorBase            = 0.020                 // seconds of a step without the part that its batch adds, in the prior
	priorSlope           = 0.0008                // seconds that each generation in the batch adds to a step, in the prior
	priorWeight          = 2.0                   // observations that each of the two points of the prior counts as
	priorBatch           = 16.0                  // batch size at the second point of the prior
	speedDecay           = 0.995                 // factor on the weight of earlier observations at each new one
	maximumStep          = 5 * time.Second       // longer intervals are stalls, not steps, and count as this
	kneeGrowth           = 1.25                  // multiple of the largest recent batch that the knee may reach
	kneeHeadroom         = 4                     // generations by which the knee may exceed the largest recent batch in any case
	largestBatchDecay    = 0.9995                // factor on the largest recent batch at each observation
	minimumKnee          = 2                     // generations
	maximumKnee          = 512                   // generations
	maximumCachedBlocks  = 8192                  // blocks kept for each endpoint
	evictionSample       = 8                     // blocks among which the least recently used one is evicted
	gapTrust             = 0.7                   // factor on the trust in a block for each gap in the cache events
	outcomeDecay         = 0.9                   // factor on the weight of earlier outcomes at each new one
	ejectErrorRate       = 0.5                   // error rate at which an endpoint is an outlier
	ejectMinimumOutcomes = 3                     // outcomes needed before the error rate is judged
	ejectSlowness        = 4                     // multiple of the median interval between tokens above which an endpoint is an outlier
	firstEjection        = 3 * time.Second       // duration of the first ejection
	longestEjection      = 15 * time.Second      // limit of the duration of repeated ejections
	defaultInterval      = 30 * time.Millisecond // time between tokens assumed for an endpoint without observations
	slownessSamples      = 8                     // observations needed before the interval of an endpoint is compared with others
	fasterPrefillWeight  = 0.5                   // of an observation of the time per prompt token that is below the estimate
	slowerPrefillWeight  = 0.1                   // of one that is above it
	maximumTokenTime     = 20 * time.Millisecond // longer times per prompt token are stalls and count as this
	recentDecay          = 0.9                   // weight of the earlier mean in the recent interval at each new observation
	forgetEjectionsAfter = 2 * time.Minute       // time since the latest ejection after which the duration starts again from the first
)
