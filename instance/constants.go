package instance

import "time"

// Defaults and bounds of the settings.
const (
	defaultMaximumBodyBytes = 4 << 20
	defaultClaimPartitions  = 16
	defaultClaimAppends     = 200
	defaultPullsPerMinute   = 60
	defaultClaimWindow      = 24 * time.Hour
	defaultSnapshotInterval = time.Hour
	defaultNotice           = 3 * time.Second
	defaultGrace            = 20 * time.Second
	defaultResumeWindow     = 10 * time.Minute
	defaultSubset           = 16
	defaultExplanations     = 4096
	defaultMaximumStreams   = 20000
	minimumKeyBytes         = 32
)

// namespace begins the name of each metric.
const namespace = "dogwooddyke"

// Bounds of the values of metrics labels; what goes beyond shares otherLabel.
const (
	maximumWorkspaceLabels = 128
	maximumClassLabels     = 8
	maximumReasonLabels    = 64
	otherLabel             = "other"
)

// newsFanout is the number of instances to which an instance sends news of crashes; each of them sends on what is new to it.
const newsFanout = 4

// stallBound is the wait between two tokens beyond which a caller is held to be stalled.
const stallBound = 500 * time.Millisecond

// Intervals and timeouts of an instance's loops.
const (
	tickInterval        = 50 * time.Millisecond
	trialMessageTimeout = time.Second      // of a message about crashes or trials
	leaseTimeout        = 10 * time.Second // of releasing leases at the end of a drain
	drainPoll           = 20 * time.Millisecond
	shareInterval       = 75 * time.Millisecond // between two looks at whether a share has to be asked for
	loadInterval        = 500 * time.Millisecond
	leavingInterval     = 500 * time.Millisecond
	cacheInterval       = 2 * time.Second
	cacheIdleInterval   = 20 * time.Second // of endpoints that this instance does not use
	restartPause        = time.Second
	explainWorkers      = 64
	pollWorkers         = 16
	loadTimeout         = 2 * time.Second
	explainTimeout      = time.Second
	permitTimeout       = 150 * time.Millisecond // of asking a steward for permits
	quotaSettleTime     = 3 * time.Second        // from the start of an instance until it grants permits
)
