package capacity

// The size to design for; see DEVELOPERS.md.
const (
	designInstances  = 1600
	designEndpoints  = 4600
	designEntries    = 40 // 33 models, and plain services beside them
	designWorkspaces = 1400
	designRequests   = 37_000    // requests/s at the peak
	designTokens     = 8_300_000 // tokens/s at the peak
	designChanges    = 6000      // catalogue changes a day
	designFailures   = 79        // instances that fail in a day
	designReplaced   = 780       // instances restarted or replaced in a day
)

// The budget of one node for control.
const (
	budgetProcessor = 0.013 // of a core
	budgetMemory    = 128e6 // bytes
	budgetBytes     = 6000  // bytes/s
)

const secondsPerDay = 24 * 3600
