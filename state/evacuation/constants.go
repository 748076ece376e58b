package evacuation

import "time"

const (
	forgetAfter        = time.Minute      // for which a withdrawn order is kept, so that others learn of it and stale news do not bring it back
	maximumCopyAge     = 10 * time.Second // age of the copy from which the log is restored
	maximumDataCentres = 64               // that a table holds
)
