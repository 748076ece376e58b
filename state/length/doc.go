// Package length estimates the distribution of the lengths of generations, and from it the number of tokens that a generation has still
// to emit.
package length
