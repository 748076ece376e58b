// Package order reconciles an entry's engines with the models that the catalogue assigns to them. Only the instance that holds the
// entry's lease sends orders.
package order
