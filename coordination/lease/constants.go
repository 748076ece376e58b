package lease

import "time"

// Partitions is the number of streams that entries are spread over; changing it needs new streams, for fencing numbers must only grow.
const Partitions = 32

// Candidates is the number of instances that follow one partition and may take its lease.
const Candidates = 3

// Times of a lease, each on the clock of who keeps it.
const (
	Term          = 15 * time.Second // from the sending of a renewal to the end of the holder's right
	RenewInterval = 5 * time.Second  // between two renewals
	WaitOut       = Term + Term/10   // from seeing a take to the certain end of the former holder's right, at clocks up to 10% apart
	RankDelay     = 4 * time.Second  // each rank behind the first waits this much longer before taking
	StartDelay    = 5 * time.Second  // before an instance that starts takes a lease
	RetryInterval = 2 * time.Second  // between two attempts of the same take or release
)

const (
	readTimeout   = 5 * time.Second
	appendTimeout = 4 * time.Second
	longestWait   = 10 * time.Second // of one read at the log's head
	retryInterval = time.Second      // while the log does not answer
	drainPoll     = 50 * time.Millisecond
	chooseEvery   = time.Second // between two looks at which partitions to follow
)

// Bounds.
const (
	maximumSent   = 8 // own records in flight that are remembered
	maximumRecord = 1024
)
