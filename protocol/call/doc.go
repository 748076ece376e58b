// Package call dispatches calls of plain services, each at most once if the call may not be repeated.
package call
