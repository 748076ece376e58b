package share

import "time"

// Method is the name of the RPC method under which an instance serves its peers' requests for shares.
const Method = "share.ask"

const (
	grantDuration         = 3 * time.Second         // validity of a granted share
	urgentPeriod          = 100 * time.Millisecond  // time between two asks for a larger share while requests wait
	changePeriod          = 500 * time.Millisecond  // time between two asks while the demand changes
	refreshPeriod         = 1 * time.Second         // time between two asks while the demand is constant
	idlePeriod            = 10 * time.Second        // time between two asks while nothing runs or waits
	unreachableMisses     = 2                       // successive asks without an answer after which a steward counts as unreachable
	idlePollInterval      = 2 * time.Second         // time between two load polls of an endpoint that no instance uses
	callTimeout           = 500 * time.Millisecond  // time limit of one call to a steward
	settleDuration        = 1500 * time.Millisecond // time in which a new steward learns which shares are held
	grantedMemoryFraction = 0.96                    // part of an engine's KV memory that is granted
	deviationMargin       = 0.5                     // standard deviations that the margins of all instances together keep free
	spareRequestFactor    = 1.5                     // multiple of a usual request's memory need that is granted beyond the demand if there is room
	minimumSpreadFactor   = 0.3                     // lower bound of the factor by which an instance's memory margin is multiplied
	maximumAsks           = 4096                    // endpoints in one request, and as many limits and handed over shares
	maximumLedgers        = 8192                    // ledgers of endpoints, and as many of limits, that a steward keeps
	maximumHolders        = 2048                    // instances in one ledger
	ledgerIdleTimeout     = 3 * idlePeriod / 2      // time without an ask after which a ledger is dropped
	defaultSlots          = 16                      // slots of an engine whose knee is unknown
	defaultMemory         = 16384                   // tokens of KV memory of an engine that has not reported its capacity
	maximumLoadAge        = 5 * time.Second         // age up to which a load report is used
)
