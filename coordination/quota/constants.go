package quota

import "time"

const (
	permitLifetime     = 500 * time.Millisecond // for which a permit is valid; an unused one lapses
	burstDuration      = 100 * time.Millisecond // permits that were not asked for in this time may be granted together
	maximumReservation = time.Second            // for which a permit is granted ahead at most
	maximumOverdraft   = 3                      // permits of an endpoint that are granted to runs in progress before they are due
	minimumRate        = 0.2                    // permits per second of an endpoint that takes fewer, so that the end of its limit is noticed
	leastRetryDelay    = 20 * time.Millisecond  // from a denial to the next ask
	otherStewardDelay  = 300 * time.Millisecond // the same if another instance is the steward, or none is known
	coldFraction       = 0.9                    // of the requests per second that a cold endpoint takes
	staleNews          = 2 * time.Second        // without an answer that names it, after which a limit is in doubt
	recentAsk          = 10 * time.Second       // since the latest ask, in which the steward of an endpoint reports its limit
	earlyLifetime      = 30 * time.Second       // for which news of an unknown endpoint are kept
	newsRepeats        = 3                      // reports that carry each change of a limit
	maximumNews        = 64                     // limits in a report
	notableChange      = 0.1                    // relative difference of a rate from which it is reported to all instances
	maximumAccounts    = 4096                   // endpoints for which an instance grants permits
	maximumCount       = 64                     // permits in one message
)
