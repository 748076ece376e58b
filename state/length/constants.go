package length

const (
	linearBuckets  = 16 // lengths below this have a bucket each
	octaveBuckets  = 8  // buckets in each doubling of the length above that
	octaves        = 13 // doublings covered
	bucketCount    = linearBuckets + octaveBuckets*octaves
	halfLife       = 4000 // observations after which the weight of an observation has halved
	rescaleWeight  = 1e6  // weight of a new observation at which all weights are scaled down
	priorWeight    = 4    // observations that the prior counts as
	priorLength    = 512  // tokens; the prior is log-uniform up to four times this length
	beyondFraction = 0.5  // expected number of remaining tokens, as a fraction of those emitted, if no observation was longer
	minimumMass    = 1e-9 // probability below which the histogram holds no information
	refreshPeriod  = 16   // observations between refreshes of the derived tables
	minimumSamples = 8    // observations needed before a group is used in place of its wider group
	maximumGroups  = 2048 // histograms kept
	evictionSample = 8    // groups among which the least recently used one is evicted
)
