package gossip

import "time"

const (
	minimumExpiry           = 2 * time.Second         // time without a report after which an instance counts as idle
	maximumMissedReports    = 2                       // successive reports of an instance that may be lost before it expires
	removalExpiries         = 10                      // expiry times without a report after which nothing is sent to an instance any more
	minimumInterval         = 150 * time.Millisecond  // least time between two reports to the same instance
	maximumReportsPerSecond = 60.0                    // reports that an instance sends, to all others together
	minimumFullInterval     = 2 * time.Second         // least time between two reports that list all uses
	intervalsPerFullReport  = 2                       // report intervals between two reports that list all uses
	reportsPerChange        = 2                       // successive reports that list a changed use, since reports may be lost
	maximumUnreportedChange = 0.1                     // relative difference of memory or token interval that need not be reported
	minimumForwardingPeers  = 5                       // live instances in another data centre from which on one of them forwards reports to the rest
	minimumBundlingPeers    = 96                      // other live or listed instances from which on reports reach the fleet in bundles
	maximumForwarders       = 2                       // instances of a data centre that forward reports in bundles
	readerInterval          = time.Second             // longest time between two reports of a reader or a forwarder
	maximumForwarderSilence = 2500 * time.Millisecond // time since a forwarder's latest report after which another one is used
	maximumContacts         = 8                       // listed instances that a starting instance of a large fleet reports to directly
	maximumBundledReports   = 4096                    // that a forwarder collects for its next bundles, of each kind
	maximumBundleBytes      = 16 << 10                // of encoded reports in one bundle
	maximumReaders          = 8                       // instances that read the endpoint list from the log for all others
	maximumCheckers         = 2                       // readers that look for changes of the catalogue which waiting reads miss
	maximumReadAge          = 2500 * time.Millisecond // time since a reader's latest read after which it is replaced; a read may wait for a heartbeat
	maximumPromptLifetime   = time.Second             // for which prompts of another instance count unless it reports them again
	promptMargin            = 2                       // multiple of the time that an engine needs for the prompts of a use alone, for which they count
	startGrace              = 1500 * time.Millisecond // for a listed instance to send its first report
	silentLifetime          = 5 * time.Minute         // for which an instance whose reports have ceased may still run
	listedLifetime          = 30 * time.Second        // the same for one that the log has listed and that has sent no report
	maximumPeers            = 4096                    // instances in the table
	maximumLeaving          = 64                      // leaving endpoints in a report, and as many updates of endpoints
	maximumRateLimits       = 64                      // rate limits in a report
	maximumStandings        = 64                      // rests and departures in a report
	maximumEvacuations      = 64                      // data centres in a report
	maximumUses             = 512                     // endpoints whose use a report lists, and whose use is recorded for one instance
)
