package ratelimit

// Limit is what an endpoint says of the requests that it takes from all instances together; the zero value says that it names no limit.
type Limit struct {
	Named     bool
	PerSecond float64 // requests per second, not negative; meaningful if Named is set
}
