// Package explanation keeps what was decided for recent requests, within a bound.
package explanation
