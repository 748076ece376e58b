package routing

import "time"

const (
	defaultSampleSize       = 8    // endpoints with room that are compared per decision
	defaultSubsetSize       = 16   // endpoints of an entry that one instance uses
	leastOfVersion          = 2    // endpoints of each version among them, if there are so many
	defaultQueueBound       = 2048 // queued requests of an instance
	defaultWorkspaceBound   = 512  // queued requests of one workspace
	progressInterval        = 16   // tokens of a run between two updates of the shared statistics
	memoryMarginDeviations  = 0.5  // standard deviations of the predicted memory use that are kept free
	defaultPromptTokens     = 64   // for a prompt of unknown length
	defaultCapacityTokens   = 16384
	defaultSlots            = 8                      // of an endpoint whose load is unknown
	promptTokenCharge       = 0.25                   // served tokens that a workspace is charged per prompt token
	ageingStep              = 4 * time.Second        // waiting time that raises a request by one priority level
	defaultPatience         = 30 * time.Second       // from submission to the deadline that a request without one is ordered by
	latenessCheckPeriod     = 200 * time.Millisecond // between searches for queued requests that can't start by their deadline
	minimumStartRate        = 0.01                   // starts per second; a wait is predicted with at least this rate
	latenessFactor          = 1.2                    // factor by which a predicted wait must exceed the time left before a refusal
	maximumMisses           = 6                      // requests of an entry that find no room in a round before its other requests are skipped
	remoteSeconds           = 0.010                  // added to the score of an endpoint in another data centre, in seconds
	doubtedSeconds          = 30.0                   // added to the score of an endpoint that may be leaving, in seconds
	doubtedFill             = 10.0                   // the same, added to its filled fraction
	immovableRunSeconds     = 1.0                    // added to the score per run that can't be moved away at short notice, in seconds
	defaultPromptWeight     = 1.0
	lateFirstTokenWeight    = 8.0                    // of a second by which a request makes the first tokens of others late, relative to one of its answer
	priorTokenTime          = 300 * time.Microsecond // time per prompt token until one is known
	leastPromptLeft         = 0.1                    // fraction of a prompt that is taken to be left until its first token
	firstTokenWeight        = 8.0                    // of a second until a first token that takes all of the time left for it, relative to one of the answer
	leastTimeLeft           = 200 * time.Millisecond // that a request whose first token is late already is taken to have for it
	spreadWeight            = 5.0                    // of the time that the prompt of a long answer takes, for each run at its endpoint
	longAnswerTokens        = 100.0                  // expected output tokens of an answer that counts half as much as a very long one
	memoryPressureThreshold = 0.85                   // fraction of the memory share above which the score of an endpoint rises
	memoryPressureCost      = 3.0                    // factor on the run time, per fraction of memory above the threshold
	maximumBackupFill       = 0.12                   // filled fraction of an endpoint's memory share, with the backup, above which none is placed there
	remoteBackupFill        = 0.15                   // added to the filled fraction of an endpoint in another data centre when it is compared for a backup
	limitedBackupFill       = 1.0                    // the same for an endpoint that limits the rate of its requests
	permitAskTimeout        = 150 * time.Millisecond // after which an ask for permits counts as lost
	unansweredAskPause      = 500 * time.Millisecond // after a lost ask, until the next one
	minimumPermitPatience   = 50 * time.Millisecond  // for which a request waits for a permit even if its first token is late already
	maximumPermitPatience   = time.Second            // for which a request waits for a permit at most
	maximumPermitsPerAsk    = 16
	blockTokens             = 64          // tokens of a prompt block
	startRateSeconds        = 8.0         // time constant of the observed start rate
	startRateModelSeconds   = 2.0         // weight of the modelled start rate, in seconds of observation
	maximumEjectedFraction  = 0.34        // of the endpoints of an entry
	shareRenewalPeriod      = time.Second // within which the other instances renew their shares of an endpoint and so give up a part
	minimumRetryDelay       = 500 * time.Millisecond
	speedCheckPeriod        = 500 * time.Millisecond // between searches for slow endpoints
	maximumLoadAge          = 15 * time.Second       // after which a load report is ignored
	maximumProfileAge       = 100 * time.Millisecond // after which the predicted memory use of an endpoint is computed again
	maximumCandidates       = 8                      // candidates kept in a decision
	typicalMemorySamples    = 8                      // requests that the moving average of memory per request covers
	maximumLimiters         = 8192
	defaultTokenTime        = 30 * time.Millisecond  // time between tokens when no endpoint is known
	longAnswerProbability   = 0.99                   // of answers that end in the time which is taken to be the longest
	slowAnswerFactor        = 2.0                    // ratio of that time to the one at the present speed of an engine
	busyAnswerMargin        = 300 * time.Millisecond // added to that time for requests of other instances that this one does not know of yet
	plainAnswerFactor       = 2                      // ratio of that time of a plain service's answers to their target
	minimumPlainAnswer      = 600 * time.Millisecond // the least that it is taken to be
)

// horizons are the numbers of further tokens per run at which the memory use of an endpoint is predicted.
var horizons = [...]int{0, 32, 128, 384, 1024, 2560, 6144}
