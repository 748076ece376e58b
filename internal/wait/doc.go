// Package wait has the waits that loops share; it knows nothing of the program.
package wait
