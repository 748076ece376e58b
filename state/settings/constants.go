package settings

// Limits on the size of a settings file and on the list of faults.
const (
	MaximumFileBytes   = 1 << 20
	maximumFaults      = 200 // faults in one list
	maximumQuotedBytes = 80  // bytes of a value that a fault quotes
)
