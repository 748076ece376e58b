package claim

import "time"

// Limits of one partition.
const (
	maximumClaims      = 1 << 20   // keys remembered
	maximumGroupClaims = 1024      // claims in one record
	maximumGroupBytes  = 128 << 10 // results in one record
	maximumPending     = 16384     // claims that wait for a record
	maximumResults     = 16384     // results that wait for a record
	maximumWaiting     = 4096      // repeats that wait for a result
	maximumCachedBytes = 4 << 20   // results kept in memory; older ones are read back from the log
	maximumCached      = 65536     // number of them
	streamPrefix       = "claims."
)

// MaximumResultBytes bounds the result of one call.
const MaximumResultBytes = 24 << 10

// Limits of one instance.
const (
	maximumSettling = 4096 // results on their way to stewards
)

// Defaults of settings.
const (
	DefaultPartitions       = 32
	DefaultAppendsPerSecond = 200
	DefaultWindow           = time.Hour
)

// ClockMargin is the most by which the clocks of instances and of key makers may differ.
const ClockMargin = 5 * time.Minute

// Waits.
const (
	retryMinimum  = 20 * time.Millisecond // between tries at the log or a steward
	retryMaximum  = time.Second
	idleCheck     = 500 * time.Millisecond // between an idle steward's looks at the view of stewards
	answerMargin  = 250 * time.Millisecond // by which stewards answer before a question's deadline
	flushPause    = 10 * time.Millisecond  // between looks at what a leaving steward has to write
	repeatWait    = 10 * time.Second       // longest wait of a repeat for the first call's result
	settleHorizon = 30 * time.Second       // of all tries to hand on a result
	settleTimeout = 5 * time.Second        // of one try
	grantTimeout  = 5 * time.Second        // of one try
	takeOverPause = 200 * time.Millisecond // between takeovers of one partition
	readTimeout   = 10 * time.Second       // of one read of the log
	appendTimeout = 10 * time.Second       // of one append to the log
)
