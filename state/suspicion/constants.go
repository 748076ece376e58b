package suspicion

import "time"

const (
	sameCrash        = time.Second            // between two reports of a crash at the same address, within which they are of the same crash
	crashSpacing     = 500 * time.Millisecond // between two crashes that count separately; endpoints may fail together for a reason of their own
	crashLifetime    = 30 * time.Minute       // for which a crash counts
	maximumCrashes   = 256                    // that a table holds
	maximumPrompts   = 16                     // of one crash
	maximumAnswered  = 4096                   // parts whose latest answer a table remembers
	answeredLifetime = time.Minute            // for which the latest answer on a part that no crash concerns is remembered
)
