package resumption

import "time"

const (
	keepers        = 3                     // instances that keep the beginning of each stream, besides the one that served it
	askedKeepers   = 5                     // instances that are asked for it: they may not agree on who is live
	askTimeout     = 90 * time.Millisecond // until those that have not answered are asked once more
	askAttempts    = 3                     // times that an instance is asked
	returnTime     = 30 * time.Second      // after a stream's deadline, in which its caller may still take it up
	maximumStreams = 32768                 // whose beginnings an instance keeps
	maximumRecords = 24                    // in one message
	maximumText    = 256                   // bytes of the name of a service or a version
	maximumKept    = 10 * time.Minute      // for which a message may have a beginning kept
	maximumListed  = 64                    // versions in an answer
	expiryInterval = 5 * time.Second       // between two searches for beginnings that are over
)
