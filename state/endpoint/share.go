package endpoint

import "time"

// Share is the part of an endpoint that one instance may use until a time.
type Share struct {
	Slots  int       `json:"slots"`  // generations in progress
	Memory int       `json:"memory"` // tokens in the engine's memory
	Spread float64   `json:"spread"` // factor on the margin for spread, less than 1 where others' spread evens it out
	Until  time.Time `json:"until"`
}

// Demand is what an instance tells an endpoint's steward about its use of the endpoint.
type Demand struct {
	Running  int     `json:"running"`  // its generations in progress there
	Waiting  int     `json:"waiting"`  // its queued requests that the endpoint could serve, as its part
	Memory   int     `json:"memory"`   // tokens that it expects to need at most for those in progress
	Wanted   int     `json:"wanted"`   // tokens that it expects to need for those queued
	Need     int     `json:"need"`     // tokens of memory that one more usual request needs
	Variance float64 `json:"variance"` // of the memory of those in progress, in squared tokens
	Knee     int     `json:"knee"`     // the batch that it learnt to be the most for the target interval
}
