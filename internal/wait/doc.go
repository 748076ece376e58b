// Package wait provides helpers for waiting and for hedged calls; it depends on no other package of the program.
package wait
