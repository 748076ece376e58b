// Package publication appends an operator's change of the catalogue to the log and determines its outcome.
package publication
