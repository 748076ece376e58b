package quarantine

import (
	"time"

	"dogwooddyke/state/prompt"
)

const (
	suspectCrashes    = 2                       // from which on a part is sent in trials only
	implicatedCrashes = 1                       // the same for a request that was itself at an endpoint that crashed
	unansweredCrashes = 3                       // without an answer, from which on a request as a whole is sent in trials only, whatever explains them
	firstHold         = 20 * time.Second        // after a trial that crashed an endpoint, until the next trial; doubled each time
	longestHold       = 10 * time.Minute        // between two trials
	trialLifetime     = 5 * time.Second         // after which a trial without a result counts as lost
	explainedLifetime = 500 * time.Millisecond  // the same of a part whose crashes another one explains, which is probably sound
	busyRetryDelay    = 100 * time.Millisecond  // between two asks while another request is on trial
	leastAskPause     = 20 * time.Millisecond   // between two asks about the same request
	maximumWait       = time.Second             // for which a request waits for the result of another one's trial
	askTimeout        = 200 * time.Millisecond  // after which an ask counts as lost
	askAttempts       = 2                       // of one ask
	refusalMemory     = 500 * time.Millisecond  // after a refusal by the steward, in which it is not asked about the part again
	silentPause       = 500 * time.Millisecond  // after an ask without an answer, in which no other one is sent
	syncInterval      = time.Second             // between two comparisons with another instance
	startInterval     = 50 * time.Millisecond   // the same of an instance that has just started
	maximumStart      = time.Second             // after its start, for which an instance waits for what the others know
	uninformedAnswers = 3                       // of instances that have just started too, after which one that starts takes it that nothing is known
	newsRepeats       = 3                       // reports that carry each piece of news
	maximumNews       = 64                      // crashes, and as many answers, in one message
	maximumAskNews    = 16                      // crashes in an ask or its answer
	maximumNewsParts  = 1500                    // parts in all requests of one message's crashes, which keeps it below the size of a datagram
	maximumCrashParts = 750                     // the same of one crash
	maximumPromptsOf  = 256                     // requests of a crash in a message
	maximumParts      = prompt.MaximumParts + 1 // of a request: those of its prompt, and the request as a whole
	maximumPending    = 1024                    // pieces of news that wait for a report
	maximumTrials     = 1024                    // that a steward holds
)
