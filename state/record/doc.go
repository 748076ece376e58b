// Package record defines the interface of the platform's append-only log and the records that it stores.
package record
