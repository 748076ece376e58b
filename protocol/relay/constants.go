package relay

import "time"

const (
	eventBuffer  = 2 << 10   // bytes read ahead of a stream
	maximumEvent = 256 << 10 // bytes of one event
	maximumWhole = 8 << 20   // bytes of an answer that is passed on whole

	maximumUnrun  = 3   // dispatches of one request that endpoints certainly did not run
	mostUnreached = 12  // that did not get as far as an endpoint
	waitFraction  = 0.6 // of its time, in which a generation must have started
	planFraction  = 0.9 // of its time, in which a plain request must have been sent
	hedgeTargets  = 1.6 // targets after which a repeatable request is sent elsewhere
	budgetReserve = 0.7 // of the retry budget that is used: instances count on their own

	moveTries       = 6                    // endpoints, or looks for a run that has not begun, before a run is left where it is
	farMove         = 1.0                  // seconds that a copy to another data centre takes longer
	lostMove        = 30.0                 // seconds that it costs where there is no time for it
	turnLook        = 8 * time.Millisecond // between looks at whether the runs before have left
	maximumRestores = 4                    // times that one request goes on from a backup
	dropTimeout     = time.Second          // of freeing a copy that is not used
	usualDistance   = 1.3                  // times that a copy takes longer than within a data centre
	usualPart       = 4                    // the most tokens of output are so many times those that a run has when it is moved
	pausePart       = 4                    // of a request's target is the pause before endpoints that refused are asked again
	longestPause    = 200 * time.Millisecond
	movePause       = 60 * time.Millisecond // before a run that was not found is looked for again
	moveWait        = 6 * time.Second       // for a copy once the run has stopped
	movedTokens     = 40                    // expected tokens below which a run ends before it would be moved
	streamSilence   = 2 * time.Second       // without an event, after which a resumable stream goes on elsewhere

	minimumRetry = 300 * time.Millisecond
	priorityStep = 100 * time.Millisecond // by which each priority comes back later
	lastPriority = 5
	bucketCount  = 20 // parts of the retry budget's window
)
