// Package call carries one call of a plain service, at most once where it may not be repeated.
package call
