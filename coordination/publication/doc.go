// Package publication appends an operator's change to the log and finds out what became of it.
package publication
