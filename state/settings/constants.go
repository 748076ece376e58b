package settings

// Bounds of what is read and reported.
const (
	MaximumFileBytes = 1 << 20
	maximumFaults    = 200
	maximumQuoted    = 80 // characters of a value that are repeated in a fault
)
