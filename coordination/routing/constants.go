package routing

import "time"

const (
	defaultSampleSize       = 8    // endpoints that fit, of which the best is taken
	defaultSubsetSize       = 16   // endpoints of an entry that one instance works with
	defaultQueueBound       = 2048 // requests queued at an instance
	defaultWorkspaceBound   = 512  // requests queued of one workspace
	progressInterval        = 16   // tokens between two updates of the shared tables
	memoryMarginDeviations  = 0.5  // standard deviations of memory that are kept free
	defaultPromptTokens     = 64   // tokens of a prompt of unknown length
	defaultCapacityTokens   = 16384
	defaultSlots            = 8                      // of an endpoint whose load is unknown
	promptTokenCharge       = 0.25                   // served tokens that a prompt token counts as
	ageingStep              = 4 * time.Second        // waiting that raises a request by one priority
	defaultPatience         = 30 * time.Second       // in which a request without a deadline is to start
	latenessCheckPeriod     = 200 * time.Millisecond // between looks for queued requests that can't start in time
	minimumStartRate        = 0.01                   // starts per second that are foreseen at least
	latenessFactor          = 1.2                    // times that a wait must be too long before it counts as known
	maximumMisses           = 6                      // heads of lines tried for an entry before the rest of them waits
	remoteSeconds           = 0.010                  // cost of an endpoint in another data centre
	immovableRunSeconds     = 1.0                    // cost of a generation that an endpoint could not hand on at short notice
	defaultPromptWeight     = 1.0
	priorPrefillSeconds     = 0.0003 // seconds for a prompt token that is not cached
	prefillDecay            = 0.95
	memoryPressureThreshold = 0.85 // part of the memory above which an endpoint costs more
	memoryPressureCost      = 3.0
	maximumBackupFill       = 0.12        // of an endpoint's memory that copies of other endpoints' runs may fill
	remoteBackupFill        = 0.15        // of its memory that a copy to another data centre counts as besides
	blockTokens             = 64          // tokens of a prompt block
	startRateSeconds        = 8.0         // time constant of the observed rate of starts
	startRateModelSeconds   = 2.0         // weight of the modelled rate against it
	maximumEjectedFraction  = 0.34        // of the endpoints of an entry at most
	shareRenewalPeriod      = time.Second // in which the other holders of an endpoint ask again and so give up a part
	minimumRetryDelay       = 500 * time.Millisecond
	speedCheckPeriod        = 500 * time.Millisecond // between searches for slow endpoints
	maximumLoadAge          = 15 * time.Second       // age at which a load report is not used any more
	maximumProfileAge       = 100 * time.Millisecond // age at which an endpoint's memory is foreseen anew
	maximumCandidates       = 8                      // candidates kept for an explanation
	typicalMemoryWeight     = 8                      // the latest request counts as one of so many
	maximumLimiters         = 8192                   // limiters kept
	defaultTokenSeconds     = 0.03                   // seconds between tokens of an endpoint that is not known
)

// horizons are the numbers of tokens ahead at which an endpoint's memory is foreseen.
var horizons = [...]int{0, 32, 128, 384, 1024, 2560, 6144}
