package bench

import "time"

const (
	targetFirst      = 370 * time.Millisecond // time to the first token beyond which a caller stalls
	targetBetween    = 68 * time.Millisecond  // time between tokens beyond which a caller stalls
	instanceCount    = 8
	messageDelay     = time.Millisecond       // one way between instances
	tickPeriod       = 50 * time.Millisecond  // of an instance's own loop
	pollPeriod       = 200 * time.Millisecond // between polls of an engine by its steward
	blockTokens      = 64                     // of a prompt block
	maximumBlocks    = 64
	warmPart         = 0.25 // of a run that is not measured
	saturation       = 3.0  // load at which capacity is measured, as a multiple of a rough guess
	intervalBuckets  = 2400
	bucketGrowth     = 1.01
	leastInterval    = 100 * time.Microsecond
	commonBlocks     = 6                     // of prompts of one workspace
	topicBlocks      = 4                     // of prompts on one topic
	clairvoyantStep  = 50 * time.Millisecond // longest step that the clairvoyant policy lets a batch grow to
	clairvoyantTries = 16                    // jobs that don't fit before the clairvoyant policy looks no further
	topicCount       = 30                    // of a workspace
	lastConcurrency  = 6                     // limit of the smallest workspace, about what it uses at 75% load
	lastRequests     = 2                     // per second, likewise
	noisyFactor      = 10                    // times its limit that it asks for when it is noisy
	usualLag         = time.Second           // of load reports where nothing else is said
)
