// Package record holds the values that the platform's append-only log deals in.
package record
