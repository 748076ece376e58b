package hosted

import "time"

const (
	readHeaderTimeout  = 5 * time.Second
	idleTimeout        = 90 * time.Second
	maximumHeaderBytes = 64 << 10

	firstRequestTime       = 5 * time.Second        // for which an instance that is stopped waits for the first request on a connection
	nextRequestTime        = 100 * time.Millisecond // after an answer of an instance that is stopped, in which a request that was read with the one before begins
	connectionPollInterval = 20 * time.Millisecond  // between checks whether requests are in progress, of an instance that is stopped
	answerPollInterval     = 5 * time.Millisecond   // the same, while requests are being ended

	lingerTime      = 500 * time.Millisecond // for which the close of a connection waits for its caller's
	maximumDiscards = 256                    // reads of bytes that are discarded before a connection is closed without waiting
	lastSendBytes   = 1 << 20                // of an answer that the kernel takes at least, at the end of a stop; the system may allow less
	enoughSendBytes = 400 << 10              // that are left as they are: a system may allow no more to be set

	queueTickInterval      = 50 * time.Millisecond   // between two ticks while requests wait for a place
	idleTickInterval       = 200 * time.Millisecond  // between two ticks otherwise
	missingGrace           = 2500 * time.Millisecond // time for endpoints to reappear in the endpoint list after an outage of the log
	logReadWait            = 28 * time.Second        // maximum wait of one read of the catalogue's topic for new records
	listPausePerReader     = 45 * time.Millisecond   // for each reader, in a reader's pause between two reads of the endpoint list
	minimumListPause       = 200 * time.Millisecond  // shortest pause between two reads of the endpoint list
	registrationGrace      = 500 * time.Millisecond  // for which reads of the endpoint list wait for the registration
	maximumUnreadTime      = 60 * time.Second        // between reads of the endpoint list by an instance that is not a reader
	checkInterval          = 600 * time.Millisecond  // mean time between two checks for records that the waiting read of the catalogue's topic does not return
	checkGrace             = 50 * time.Millisecond   // for the waiting read to return what a check has found
	checkTimeout           = time.Second             // of a check
	missedUpdateGrace      = 200 * time.Millisecond  // time for updates in transit to arrive before the log is read for them
	readCheckInterval      = 200 * time.Millisecond  // between checks whether this instance has become a reader
	heartbeatMargin        = 500 * time.Millisecond  // added to the heartbeat interval to get the age at which the endpoint list is stale
	updateRepeats          = 3                       // reports that carry each change of an endpoint
	maximumPendingUpdates  = 64                      // changes of endpoints that one report carries
	baseBackoff            = 80 * time.Millisecond   // doubled for each consecutive failed call to the log
	nonProberInterval      = 2 * time.Second         // between calls to a lost log while other instances probe it more often
	probeInterval          = 250 * time.Millisecond  // time after a read's maximum wait at which a call to the log is overdue and another one starts in parallel
	maximumBackoff         = 600 * time.Millisecond
	memoryLimitFraction    = 0.7                    // fraction of the process's memory that is the Go runtime's soft limit
	heldMemoryFraction     = 0.3                    // fraction of the process's memory for bodies of requests and answers that callers have not read
	usableMemoryFraction   = 0.92                   // fraction of an engine's KV memory that requests may use
	maximumReportedLeaving = 32                     // endpoints that a report lists as leaving
	reportBatchPause       = 5 * time.Millisecond   // in which the starts of several runs are collected for one report
	bundleInterval         = 300 * time.Millisecond // longest time that a forwarder collects reports before it sends them
	noticeSettleTime       = 40 * time.Millisecond  // after an endpoint's notice, in which the instances of a large fleet report their runs there
	sharersLifetime        = time.Second            // after which the instances that share engines are computed again
	shareLifetime          = 2 * time.Second        // time for which this instance's share of an engine is valid
	registerRetryPause     = 500 * time.Millisecond // between attempts to register in the log
	registerSpread         = 2 * time.Second        // within which the instances register again after a restore of the log
	listSpread             = 300 * time.Millisecond // within which the instances list a topic again after a restore of the log
	topicInstances         = "keyed.instances"
	remoteCopySlowdown     = 2.0                    // factor by which a copy to another data centre takes longer
	promptWeight           = 3.0                    // of the wait behind other prompts: engines here process prompts between the tokens of all other runs
	syncInterval           = 250 * time.Millisecond // between checks whether peers have newer state
	lostCallMargin         = time.Second            // time overdue after which a call counts as lost by the log, not as slow
	fetchTimeout           = 4 * time.Second        // four round trips of a slow link, and the response
	fetchReuseTime         = 2 * time.Second        // after a fetch, in which its connection is used for the next one
	fetchHedgeInterval     = 700 * time.Millisecond // after which another peer is asked as well
	maximumCatalogueBytes  = 64 << 20
)
