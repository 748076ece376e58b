package platform

// Bounds of what is read from the platform, in bytes.
const (
	maximumPageBytes   = 64 << 20
	maximumAnswerBytes = 1 << 20
	maximumRosterBytes = 8 << 20
)

// pageLimit is the number of records asked for in one read.
const pageLimit = 2000
