// Package position orders the records of a log that may be restored from an older copy of itself.
package position
