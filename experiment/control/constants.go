package control

import "time"

// Bounds of the options.
const (
	maximumInstances = 256
	maximumChanges   = 200 // changes/s
	maximumSeconds   = 600
	maximumOutage    = time.Minute
)

// Sizes of the platform's stand-ins.
const (
	logRate    = 300 // appends/s
	logLatency = 2 * time.Millisecond
	rosterLag  = 2 * time.Second
)

// Catalogue and operators of the experiment.
const (
	owner            = "islaget"
	entryCount       = 3
	enginesPerEntry  = 2
	workspaceCount   = 12
	sessionCount     = 16 // operators that publish side by side
	staleShare       = 0.15
	repeatShare      = 0.05
	removalShare     = 0.10
	entryShare       = 0.4
	maximumEdit      = 250 * time.Millisecond // between an operator's reading of the catalogue and the append
	maximumOldBases  = 8                      // former revisions that an operator remembers of each subject
	publishTimeout   = 30 * time.Second       // of one change, with repeats
	publishPause     = 100 * time.Millisecond // mean between two attempts
	acknowledgements = 10                     // answers of the log that get lost
)

// Sizes of what is measured for its cost.
const (
	endpointsPerEntry = 16 // as many as an instance works with
	windowCount       = 5
	maximumRate       = 1000 // requests/s to each instance
	maximumOpen       = 512  // requests in progress
	meanTokens        = 50   // of an answer
	startPause        = 20 * time.Millisecond
)

// What control may spend on each instance, and the size at which it has to hold.
const (
	budgetBytes     = 6000 // bytes/s
	budgetProcessor = 0.013
	budgetMemory    = 128e6
	designInstances = 1600
	designEndpoints = 33 * endpointsPerEntry // 33 models, and their subset of endpoints each
)

// Times of the script and of the checks.
const (
	readyTimeout   = 30 * time.Second
	samplePeriod   = 3 * time.Millisecond
	pollPause      = 20 * time.Millisecond
	followWait     = time.Second
	killPeriod     = 6 * time.Second // mean between two deaths
	noticePeriod   = 3 * time.Second // until the platform notices a death
	replacePeriod  = time.Second     // until it starts a new instance
	headTime       = time.Second     // before the first and after the last step of the script
	maximumSamples = 1 << 17         // of one instance
	progressPeriod = 10 * time.Second
	maximumFaults  = 16 // kept of one kind
)

// ForceLimit is the time from a change's acceptance until it has to be in force on every live instance.
const ForceLimit = 11 * time.Second
