package catalogue

import "time"

// Stream is the name of the log's stream that holds the catalogue's changes and snapshots.
const Stream = "catalogue"

// Limits on the size of the catalogue and of the entries, workspaces, records and files in it.
const (
	MaximumEntries         = 1024 // entries in the catalogue
	MaximumWorkspaces      = 8192 // workspaces in the catalogue
	MaximumEndpoints       = 8192 // endpoints of one entry
	MaximumKeys            = 16   // key hashes of one workspace
	MaximumAdapters        = 64   // adapters of one entry
	MaximumEntryWorkspaces = 8192 // workspaces that one entry lists as allowed
	MaximumRecordBytes     = 8 << 20
	MaximumFileBytes       = 2 << 20

	maximumFaults       = 100
	maximumNameBytes    = 64             // of an entry, workspace, operator, data centre, role, class, adapter or change id
	maximumReasonBytes  = 200            // of each text from a record that a verdict or a fault contains
	maximumVersionBytes = 128            // of a model's name or version
	maximumPriority     = 15             // served last
	maximumLimit        = 1 << 30        // of each field of Limits, and of MaximumTokens
	maximumTimeout      = 24 * time.Hour // of QueueTimeout and AnswerTimeout
)

// Limits on what the fold remembers of past changes.
const (
	RememberedChanges  = 2048 // ids of accepted changes, by which the fold recognises a repeated change
	RememberedVerdicts = 256  // verdicts in the history
)

// keyHashBytes is the length of a SHA-256 hash in bytes.
const keyHashBytes = 32
