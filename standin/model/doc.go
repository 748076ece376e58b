// Package model is a steppable model of a continuously batching engine; it does no I/O and is given the time.
package model
