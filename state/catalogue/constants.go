package catalogue

import "time"

// Stream is the stream of the platform's log that holds changes and snapshots.
const Stream = "catalogue"

// Bounds of a catalogue and of each record in it.
const (
	MaximumEntries         = 1024 // entries in the catalogue
	MaximumWorkspaces      = 8192 // workspaces in the catalogue
	MaximumEndpoints       = 8192 // endpoints of one entry
	MaximumKeys            = 16   // key hashes of one workspace
	MaximumAdapters        = 64   // adapters of one entry
	MaximumEntryWorkspaces = 8192 // workspaces that one entry names
	MaximumRecordBytes     = 8 << 20
	MaximumFileBytes       = 2 << 20

	maximumFaults       = 100
	maximumNameBytes    = 64
	maximumReasonBytes  = 200
	maximumVersionBytes = 128
	maximumPriority     = 15
	maximumLimit        = 1 << 30
	maximumTimeout      = 24 * time.Hour
)

// Bounds of what is remembered of past changes.
const (
	RememberedChanges  = 2048 // ids of accepted changes, so that a repeat is known
	RememberedVerdicts = 256  // verdicts that history lists
)

// keyHashBytes is the length of a SHA-256 hash.
const keyHashBytes = 32
