// Package order brings an entry's engines to the state that the catalogue names, one leaseholder at a time.
package order
