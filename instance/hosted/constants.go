package hosted

import "time"

const (
	headerTimeout      = 5 * time.Second
	idleTimeout        = 90 * time.Second
	maximumHeaderBytes = 64 << 10

	tickInterval     = 50 * time.Millisecond
	settleGrace      = 2500 * time.Millisecond // in which endpoints come back to the list after an outage
	logWait          = 20 * time.Second        // for records of the log, at most
	listPauseEach    = 45 * time.Millisecond   // between reads of the list of endpoints, for each instance
	leastListPause   = 200 * time.Millisecond
	longestUnread    = 20 * time.Second       // without a read of the list of endpoints, where others read it
	missedGrace      = 100 * time.Millisecond // for news on their way
	readLook         = 60 * time.Millisecond  // between looks at whether to read
	silentMargin     = 500 * time.Millisecond // beyond a heartbeat in which the log tells nothing
	newsTellings     = 3                      // reports that hold a change of an endpoint
	maximumNews      = 16
	firstBackoff     = 80 * time.Millisecond
	othersProbe      = 2 * time.Second        // the same, while others ask more often
	probeInterval    = 250 * time.Millisecond // between two calls to a log that is lost, beside those that have no answer yet
	longestPause     = 600 * time.Millisecond
	noticePeriod     = 2500 * time.Millisecond // from SIGTERM until no connection is accepted
	exitMargin       = 400 * time.Millisecond  // before the platform ends the process
	memoryPart       = 0.7                     // of the process's memory that the runtime aims to stay under
	memoryReserve    = 0.92                    // of an engine's memory that is given to requests
	reportedLeaving  = 32                      // endpoints that a report names as leaving
	pokePause        = 5 * time.Millisecond    // in which several starts go into one report
	shareLife        = 2 * time.Second         // of what others left of an engine
	registerPause    = 500 * time.Millisecond  // between tries to write to the log
	topicInstances   = "keyed.instances"
	copyDistance     = 2.0                    // times that a copy to another data centre takes longer
	promptWeight     = 3.0                    // of the wait behind other prompts: engines here read them between the tokens of all others
	catchUpInterval  = 250 * time.Millisecond // between looks at what other instances know
	lostCall         = time.Second            // overdue by which the log has forgotten a call rather than being slow
	learnTimeout     = 4 * time.Second        // four round trips of a slow link, and the answer
	maximumCatalogue = 64 << 20               // bytes
)
