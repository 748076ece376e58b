package endpoint

import "time"

// Share is the part of the capacity of an endpoint that one instance may use until a time.
type Share struct {
	Slots  int       `cbor:"1,keyasint,omitzero" json:"slots"`  // generations that may be in progress at once
	Memory int       `cbor:"2,keyasint,omitzero" json:"memory"` // KV memory, in tokens
	Spread float64   `cbor:"3,keyasint,omitzero" json:"spread"` // factor on the margin for the variance of KV memory; less than 1 when several instances share the margin, as their deviations partly cancel out
	Until  time.Time `cbor:"4,keyasint,omitzero" json:"until"`  // time at which the share ends
}

// Ends returns the time at which the share ends.
func (s Share) Ends() time.Time { return s.Until }

// Demand is the use of an endpoint by one instance, as sent to the steward of the endpoint.
type Demand struct {
	Running  int     `cbor:"1,keyasint,omitzero" json:"running"`  // generations of the instance in progress at the endpoint
	Waiting  int     `cbor:"2,keyasint,omitzero" json:"waiting"`  // queued requests of the instance that the endpoint could serve, divided equally among the endpoints that could serve them
	Memory   int     `cbor:"3,keyasint,omitzero" json:"memory"`   // largest KV memory that the generations in progress are expected to need, in tokens
	Variance float64 `cbor:"4,keyasint,omitzero" json:"variance"` // variance of the KV memory of the generations in progress, in squared tokens
	Knee     int     `cbor:"5,keyasint,omitzero" json:"knee"`     // largest batch that keeps the target time between tokens, as learnt by the instance
	Wanted   int     `cbor:"6,keyasint,omitzero" json:"wanted"`   // KV memory that the requests counted as waiting are expected to need, in tokens
	Need     int     `cbor:"7,keyasint,omitzero" json:"need"`     // KV memory that one more typical request needs, in tokens

	Prompts  int           `cbor:"10,keyasint,omitzero" json:"prompts"` // prompt tokens of the generations that have produced no token yet
	Interval time.Duration `cbor:"8,keyasint,omitzero" json:"interval"` // recent mean time between tokens at the endpoint
	Samples  int           `cbor:"9,keyasint,omitzero" json:"samples"`  // number of intervals between tokens that the instance has observed

	PromptCount    int           `cbor:"-" json:"-"` // generations that Prompts counts
	TokenTime      time.Duration `cbor:"-" json:"-"` // estimated time per prompt token; zero: unknown
	PrefillSamples int           `cbor:"-" json:"-"` // number of observations of it by this instance
}
