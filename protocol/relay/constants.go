package relay

import "time"

const (
	eventBufferBytes  = 2 << 10   // buffer for reading a stream
	maximumEventBytes = 256 << 10 // largest event of a stream
	maximumBodyBytes  = 8 << 20   // largest answer that is buffered

	maximumNotRun        = 3   // dispatches of one request that endpoints certainly did not run
	maximumUnreached     = 12  // dispatches of one request that did not reach an endpoint
	streamStartFraction  = 0.6 // part of a request's time within which a generation must have started
	plainStartFraction   = 0.9 // part of a request's time within which a plain request must have been sent
	hedgeTargetFactor    = 1.6 // multiple of the route's target after which a repeatable request is sent to another endpoint
	usableBudgetFraction = 0.7 // part of the retry budget that is used, since each instance counts only its own requests and retries

	moveAttempts          = 6                      // attempts to move a run, at other endpoints or again if the run has not started, before it stays where it is
	remoteCopyCost        = 1.0                    // seconds that a copy to another data centre takes in addition
	infeasibleCopyCost    = 30.0                   // seconds added for a copy to another data centre for which there is no time
	turnPollInterval      = 8 * time.Millisecond   // between checks whether the runs ahead have been moved
	maximumRestores       = 4                      // times that one request continues from a backup
	dropTimeout           = time.Second            // for freeing a copy that is not used
	remoteCopyFactor      = 1.3                    // multiple of the time of a copy within a data centre that a copy usually takes
	outputDivisor         = 4                      // ratio of a request's output limit to the output that its run usually has when it is moved
	refusalPauseDivisor   = 4                      // the pause before endpoints that refused are tried again is the route's target divided by this
	maximumRefusalPause   = 200 * time.Millisecond // longest pause before endpoints that refused are tried again
	movePollInterval      = 60 * time.Millisecond  // before a run that was not found, or an endpoint for it, is looked for again
	finalCopyTimeout      = 6 * time.Second        // for a copy in progress after the stream of the run has broken off
	minimumBackupTokens   = 40                     // predicted output tokens below which a run gets no backup, since it ends before it would be moved
	minimumSilenceTimeout = 2 * time.Second        // shortest time without an event after which a resumable stream continues at another endpoint

	minimumRetryDelay  = 300 * time.Millisecond // shortest time after which a caller is told to retry
	priorityRetryDelay = 100 * time.Millisecond // added to the retry delay for each step of priority
	lowestPriority     = 5                      // highest number of a priority; requests of priority 0 are served first
	bucketCount        = 20                     // buckets of the retry budget's window
)
