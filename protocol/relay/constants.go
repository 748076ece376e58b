package relay

import "time"

const (
	eventBufferBytes  = 2 << 10   // size of the buffer for reading a stream
	maximumEventBytes = 256 << 10 // largest event of a stream
	maximumBodyBytes  = 8 << 20   // largest answer that is buffered

	budgetPollInterval = 20 * time.Millisecond // between two checks whether more bytes may be held for slow callers
	lateDelivery       = time.Second           // after a request's deadline, for which its caller may still read what is held
	firstHeldBytes     = 4 << 10               // that are held at least for an answer that is buffered

	maximumNotRun        = 3                      // dispatches of one request that reached endpoints, which certainly did not run them
	maximumUnreached     = 12                     // dispatches of one request that did not reach an endpoint
	streamStartFraction  = 0.6                    // part of a request's time within which a generation must have started
	plainStartFraction   = 0.9                    // part of a request's time within which a plain request must have been sent
	unknownVersionRetry  = 500 * time.Millisecond // until a caller comes back whose stream began at a version that is not known
	answeredEvents       = 2                      // events of a stream after which its endpoint counts as having survived the begin of the answer
	hedgeTargetFactor    = 1.6                    // multiple of the route's target after which a repeatable request is sent to another endpoint
	repeatPause          = 250 * time.Millisecond // between two requests for the place of a repeat, for which each waits at most
	usableBudgetFraction = 0.7                    // part of the retry budget that an instance uses, since it counts only its own requests and retries

	moveAttempts             = 6                      // attempts to move a run before it stays where it is; each is to another endpoint, unless the run had not started
	remoteCopyCost           = 1.0                    // seconds that a copy to another data centre takes longer than one within a data centre
	infeasibleCopyCost       = 30.0                   // the same if there is no time for a copy to another data centre
	turnPollInterval         = 8 * time.Millisecond   // time between two checks whether the runs ahead have been moved
	maximumRestores          = 4                      // times that one request continues from a backup
	continuationWait         = 10 * time.Second       // for which a run that no endpoint works on waits for one; callers bear a pause better than the end
	continuationPollInterval = 20 * time.Millisecond  // between two attempts to find an endpoint for such a run
	continuationPause        = 400 * time.Millisecond // after an endpoint refused to continue a run, before it is asked again; doubles with each refusal
	maximumContinuations     = 8                      // dispatches of one pause that are to continue a run
	maximumMemoryRefusals    = 3                      // refusals by one endpoint after which the memory there is given up
	maximumFurtherCopies     = 2                      // copies to further endpoints that one pause asks for
	maximumBackups           = 2                      // endpoints that are remembered to have a backup of a run
	permitWait               = 250 * time.Millisecond // for which a run that is to continue from a backup waits for a permit of the endpoint
	permitPollInterval       = 10 * time.Millisecond  // between two checks for such a permit
	stopTimeout              = 2 * time.Second        // of a call that has a former endpoint stop a run and copy it
	stopAttempts             = 3                      // such calls after which an endpoint counts as unreachable
	stopWait                 = 6 * time.Second        // for which an endpoint is asked that does not say what has become of a run
	maximumStopPause         = 800 * time.Millisecond // longest pause between two such calls
	stopPause                = 100 * time.Millisecond // between the first two of them; it doubles
	repeatableStopTimeout    = 500 * time.Millisecond // of the only such call for a run that may be repeated
	deadlineMargin           = 20 * time.Millisecond  // before a request's deadline, from which the end of an unframed answer may be its endpoint's deadline
	closingRetrySpread       = 200 * time.Millisecond // within which the callers of an instance that closes retry
	dropTimeout              = time.Second            // timeout for freeing a copy that is not used
	remoteCopyFactor         = 1.3                    // usual duration of a copy, as a multiple of that of a copy within a data centre
	outputDivisor            = 4                      // ratio of a request's output limit to the output that its run usually has when it is moved
	refusalPauseDivisor      = 4                      // the pause before endpoints that refused are tried again is the route's target divided by this
	maximumRefusalPause      = 200 * time.Millisecond // longest pause before endpoints that refused are tried again
	shortestNotice           = time.Second            // from an endpoint's notice until it may have ended as announced
	returnMargin             = 300 * time.Millisecond // before the end of an endpoint's drain time, after which no run returns to it: its notice and the request take time
	movePollInterval         = 60 * time.Millisecond  // pause before a run that was not found, or an endpoint for it, is looked for again
	finalCopyTimeout         = 6 * time.Second        // longest wait for a copy in progress after the stream of the run has broken off
	minimumBackupTokens      = 40                     // predicted output tokens below which a run gets no backup, since it ends before it would be moved
	minimumSilenceTimeout    = 2 * time.Second        // shortest time without an event after which a stream may continue at another endpoint
	silenceConfirmation      = 300 * time.Millisecond // for events that an endpoint has made to arrive

	minimumRetryDelay  = 300 * time.Millisecond // shortest time after which a caller is told to retry
	priorityRetryDelay = 100 * time.Millisecond // added to the retry delay for each step of priority
	lowestPriority     = 5                      // largest priority number; requests with it are served last, those with 0 first
	bucketCount        = 20                     // buckets of the retry budget's window
)
