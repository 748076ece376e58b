package soak

import "time"

const (
	quietLead         = 1500 * time.Millisecond // without faults at the start
	quietTail         = 4 * time.Second         // without new faults at the end
	leastPause        = 60 * time.Millisecond   // between two faults
	mostPause         = 600 * time.Millisecond
	leastFault        = 200 * time.Millisecond
	mostFault         = 2500 * time.Millisecond
	leastLimit        = 5 * time.Second // that an engine names a limit
	mostLimit         = 9 * time.Second
	mostRate          = 15              // tenths of a request a second of a limit; engines here get up to ten times that
	limitLearning     = 3 * time.Second // after an engine first names a limit, in which it may get more
	limitWindow       = 4 * time.Second // in which its requests are counted
	limitExcuse       = 4 * time.Second // after a fault of an instance, in which its requests are not counted
	crashLearning     = 3 * time.Second // after the last of allowedCrashes, in which more such requests may arrive
	crashExcuse       = 4 * time.Second // after a fault of an instance, in which its requests are not counted
	leastStatement    = 2 * time.Second // that an engine says that it rests or leaves
	mostStatement     = 6 * time.Second
	statementLearning = time.Second     // after an engine first says so to an instance, in which requests may still arrive
	statementExcuse   = 4 * time.Second // after a fault of an instance, in which its requests are not counted
	drainTime         = 2 * time.Second // from an engine's word that it leaves until nothing may be sent to it
	leastEvacuation   = 6 * time.Second // that a data centre is evacuated
	mostEvacuation    = 8 * time.Second
	evacuationTime    = 5 * time.Second        // from an order until nothing may be sent to the data centre
	versionLearning   = time.Second            // after an engine has begun or ceased to take work, in which instances may not know
	versionExcuse     = 4 * time.Second        // before the end of a stream, in which a second engine of its version must have served
	versionStep       = 100 * time.Millisecond // between the times that are looked at
	leastTakenUp      = 12                     // streams taken up from which on their share counts
	leastFollowed     = 40                     // events of a stream that its caller may leave
	mostTries         = 6                      // requests for one such stream
	coldTime          = time.Second            // that engines are cold after it
	coldRate          = 4.0                    // requests a second that a cold engine takes
	leastCalm         = 700 * time.Millisecond // between two restores of the log
	mostCalm          = 9 * time.Second
	copyInterval      = 500 * time.Millisecond // between two copies of the log that are kept
	mostCopies        = 10
	shortNotice       = 1700 * time.Millisecond // from an engine's notice until it is gone
	lapse             = 900 * time.Millisecond  // from an engine's death until it is off the list
	engineMargin      = 3 * time.Second         // after an engine's fault in which requests may still end by it
	grace             = 8 * time.Second         // from SIGTERM until SIGKILL
	readyWait         = 60 * time.Second
	routeTimeout      = 15 * time.Second // of the catalogue's routes
	callTimeout       = 20 * time.Second
	linkDelay         = 300 * time.Millisecond
	retryMost         = time.Second // that a caller waits after a refusal
	thinkMost         = 40 * time.Millisecond
	leastEvents       = 40 // of a long generation
	mostEvents        = 500
	shortEvents       = 6
	promptTokens      = 900
	heartbeat         = 400 * time.Millisecond
	mostInstances     = 200
	maximumShown      = 20 // broken promises that are printed

	moreArrivals   = 3 // of requests that crash engines, once their cause must be known
	crashingShare  = 4 // one in so many prompts crashes engines
	repeatedShare  = 2 // one in so many reads crashes services
	sharedParts    = 3 // parts of prompts that several callers share
	crashingPartID = "dead"
	repeatedPath   = "/read/again?page=3"
)

// Runs with planned work only.
const (
	leastPlanned    = 500 * time.Millisecond // that an option of time may be
	plannedNotice   = 2 * time.Second        // from an engine's notice until it is gone
	reloadPause     = 9 * time.Second        // between two reloads on average
	cataloguePause  = 7 * time.Second        // between two versions on average
	reloadLead      = 300 * time.Millisecond // before a stop, in which a reload may come
	secondSignal    = 7 * time.Second        // after the first, in which a second SIGTERM may come
	restartPause    = 500 * time.Millisecond
	readyPause      = 50 * time.Millisecond
	watchPause      = 250 * time.Millisecond // between two questions of the load balancer
	leastEventPause = 28 * time.Millisecond
	mostEventPause  = 60 * time.Millisecond
	plainAnswer     = 60 * time.Millisecond
	longMedian      = 190 // events; the mean is about 232
	longSpread      = 0.84
	longMost        = 549
	shortMost       = 12
	arrivalPause    = time.Second      // between two requests of a caller on average
	longPatience    = 40 * time.Second // deadline of a request, and the routes' time limit
	unlistedShare   = 5                // one in so many requests goes to any instance
	piecesShare     = 5                // one in so many is sent in pieces
	slowShare       = 6                // one in so many callers reads slowly
	mostPiecePause  = 500 * time.Millisecond
	pieceSize       = 8
	slowPause       = 150 * time.Millisecond // between two reads of a slow caller
	slowSize        = 4096
	slowBuffer      = 16384 // of such a caller's socket
	eventPadding    = 1000  // bytes
	eventTokens     = 4     // that an event holds, as the catalogue says
	keptConnections = 8
	earlyShare      = 3 // one in so many callers opens connections long before it uses them
	earlySteps      = 8
	earlyStep       = 350 * time.Millisecond // at the usual grace period; all steps are less than a silent connection may last

	// The rule for lost requests.
	lossSlack  = 200 * time.Millisecond // after its last byte, in which a connection may close if the request was not sent on
	afterGrace = time.Second            // after the grace period, in which a request may end by the stop
	graceParts = 6                      // the last of so many parts of the grace period excuses what endpoints then work on
	sentLimit  = 3 * time.Second        // after SIGTERM, in which such a request was sent
	changeTime = 3 * time.Second        // in which a change is in force
)

// Services and data centres of the stand-ins.
const (
	serviceModel = "model"
	serviceDesk  = "desk"
	serviceOther = "other"
)

var dataCentres = []string{"a", "b", "c"}
