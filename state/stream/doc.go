// Package stream holds at which version of the endpoints' software streams began that their callers may take up again.
package stream
