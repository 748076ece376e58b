// Package check has what an experiment says must hold, and whether it did.
package check
