package standing

import "time"

const (
	firstQuestionPause   = 100 * time.Millisecond // from a question without a clear answer to the next one, doubled for each further one
	longestQuestionPause = 2 * time.Second        // for so long an endpoint that stays after all gets no work
	idlePause            = 15 * time.Second
	toldLifetime         = 10 * time.Second // for which another instance's word that an endpoint leaves holds; its whole reports repeat it
	newsRepeats          = 3                // reports that carry each change
	maximumNotices       = 64               // in a report
)
