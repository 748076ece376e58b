package share

import "time"

// Method is the name under which peers serve asks.
const Method = "share.ask"

const (
	grantSpan      = 3 * time.Second         // for which a share is granted
	urgentPeriod   = 100 * time.Millisecond  // between asks for more while requests wait
	changePeriod   = 500 * time.Millisecond  // between asks while demand changes
	refreshPeriod  = 1 * time.Second         // between asks otherwise
	idlePeriod     = 10 * time.Second        // between asks while nothing runs or waits
	missesToReach  = 2                       // asks without an answer, after which a steward is out of reach
	idlePoll       = 2 * time.Second         // between reports of an endpoint that nobody uses
	callTimeout    = 500 * time.Millisecond  // of one call to a steward
	settleSpan     = 1500 * time.Millisecond // in which a new steward learns what is held
	memoryPart     = 0.96                    // of an engine's memory that is granted
	spreadMargin   = 0.5                     // standard deviations that all margins together keep free
	requestMargin  = 1.5                     // times the need of a usual request that is given beyond the demand
	leastSpread    = 0.3                     // least factor on an instance's margin
	maximumAsks    = 4096                    // lines of one ask
	maximumLedgers = 8192                    // endpoints or limits that a steward keeps
	maximumHolders = 2048                    // instances of one ledger
	idleLimit      = 3 * idlePeriod / 2      // without asks after which a ledger is dropped
	defaultSlots   = 16                      // of an engine of unknown knee
	defaultMemory  = 16384                   // tokens of an engine of unknown memory
	loadFresh      = 5 * time.Second         // age of a load report that still counts
)
