// Package claim gives each idempotency key to at most one call, through records in the platform's log that the steward of the key's partition writes.
package claim
