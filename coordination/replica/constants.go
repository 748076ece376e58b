package replica

import "time"

// Shape of the tree that spreads records.
const (
	Fanout = 4 // peers that each instance pushes to
	Seeds  = 3 // instances that wait at the log's head instead of polling
)

// Times of the loops.
const (
	PollInterval     = 5 * time.Second // mean between two polls of the log by an instance that is no seed
	SnapshotInterval = time.Hour       // between two snapshots in the log

	seedWait       = 20 * time.Second
	verifyInterval = time.Minute     // between two checks that the log still holds the last record
	readTimeout    = 5 * time.Second // beyond the wait that was asked for
	retryInterval  = time.Second     // mean between two attempts while the log does not answer
	pushTimeout    = 2 * time.Second
	fetchInterval  = 10 * time.Second // between two fetches while peers are ahead and the log does not answer
	fetchTimeout   = 10 * time.Second
	appendTimeout  = 10 * time.Second
	snapshotTick   = 10 * time.Second
	snapshotRetry  = time.Minute
	snapshotTicks  = 8 // checks in one interval, at least
	rankDelayParts = 8 // each rank behind the first waits this part of the interval longer
)

// Bounds.
const (
	fullPageRecords    = 16      // a page of fewer records and bytes was all that the log had
	fullPageBytes      = 1 << 20 // the same in bytes
	maximumPushRecords = 64
	maximumPushBytes   = 64 << 10
	maximumTargets     = 32  // peers that one instance pushes to at most, with those of dead ones
	maximumRecent      = 256 // records kept for pushing
	fetchPeers         = 3   // peers that a starter asks at once
	fetchesAtOnce      = 2   // answers that an instance gives at once
	snapshotRanks      = 4   // instances that may append a snapshot
)
