package roster

import "time"

const (
	forgetAfter    = 30 * time.Second // for which an endpoint is kept after it is gone, so that stale updates do not bring it back
	coldTolerance  = time.Second      // by which two records of one cold endpoint may differ about the end of that time
	maximumCopyAge = 10 * time.Second // age of the copy from which the log is restored

	// VersionMemory is how long a version counts after its last endpoint has left the list: for longer than such an endpoint serves on, and the
	// caller of a stream that broke off there takes to come back.
	VersionMemory = 60 * time.Second

	maximumLeftVersions = 1024 // versions of all services that have left the list
)
