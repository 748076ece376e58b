// Package quota divides the rate of requests that an endpoint takes from all instances together. Each endpoint that limits its rate has one
// steward among the instances, and each request to the endpoint needs a permit that the steward has granted.
package quota
