package platform

// Bounds of what is read from the platform, in bytes.
const (
	maximumHeaderBytes = 64 << 10
	maximumPageBytes   = 64 << 20
	maximumAnswerBytes = 1 << 20
	maximumRosterBytes = 8 << 20
)

// Records asked for in one read, and by how much fewer when their page is too large.
const (
	pageLimit   = 2000
	pageDivisor = 8
)
