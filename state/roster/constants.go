package roster

import "time"

// forgetAfter is the time for which an endpoint is kept after it is gone, so that stale updates do not bring it back.
const forgetAfter = 30 * time.Second
