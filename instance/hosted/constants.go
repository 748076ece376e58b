package hosted

import "time"

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 90 * time.Second
	maximumHeaderBytes = 64 << 10

	tickInterval           = 50 * time.Millisecond
	missingGrace           = 2500 * time.Millisecond // in which endpoints come back to the list after an outage
	logReadWait            = 20 * time.Second        // for records of the log, at most
	listPausePerReader     = 45 * time.Millisecond   // between reads of the list of endpoints, for each instance
	minimumListPause       = 200 * time.Millisecond
	maximumUnreadTime      = 20 * time.Second       // without a read of the list of endpoints, where others read it
	missedUpdateGrace      = 100 * time.Millisecond // for news on their way
	readCheckInterval      = 60 * time.Millisecond  // between looks at whether to read
	heartbeatMargin        = 500 * time.Millisecond // beyond a heartbeat in which the log tells nothing
	updateRepeats          = 3                      // reports that hold a change of an endpoint
	maximumPendingUpdates  = 16
	firstBackoff           = 80 * time.Millisecond
	otherProbeInterval     = 2 * time.Second        // the same, while others ask more often
	probeInterval          = 250 * time.Millisecond // between two calls to a log that is lost, beside those that have no answer yet
	maximumBackoff         = 600 * time.Millisecond
	drainNotice            = 2500 * time.Millisecond // from SIGTERM until no connection is accepted
	exitMargin             = 400 * time.Millisecond  // before the platform ends the process
	memoryLimitFraction    = 0.7                     // of the process's memory that the runtime aims to stay under
	usableMemoryFraction   = 0.92                    // of an engine's memory that is given to requests
	maximumReportedLeaving = 32                      // endpoints that a report names as leaving
	reportBatchPause       = 5 * time.Millisecond    // in which several starts go into one report
	shareLifetime          = 2 * time.Second         // of what others left of an engine
	registerRetryPause     = 500 * time.Millisecond  // between tries to write to the log
	topicInstances         = "keyed.instances"
	remoteCopySlowdown     = 2.0                    // times that a copy to another data centre takes longer
	promptWeight           = 3.0                    // of the wait behind other prompts: engines here read them between the tokens of all others
	syncInterval           = 250 * time.Millisecond // between looks at what other instances know
	lostCallMargin         = time.Second            // overdue by which the log has forgotten a call rather than being slow
	fetchTimeout           = 4 * time.Second        // four round trips of a slow link, and the answer
	maximumCatalogueBytes  = 64 << 20               // bytes
)
