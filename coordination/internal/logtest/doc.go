// Package logtest is a log in memory for tests: with retention, outages of one reader's way to it, and lost acknowledgements.
package logtest
