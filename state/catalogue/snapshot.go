package catalogue

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Snapshot is the whole state of the fold after the record at offset Covers.
type Snapshot struct {
	Covers     uint64              `cbor:"covers"`   // offset of the last folded record
	Revision   uint64              `cbor:"revision"` // offset of the last accepted change
	Horizon    uint64              `cbor:"horizon"`  // offset of the last accepted change whose id is no longer remembered
	Digest     []byte              `cbor:"digest"`   // hash chained over the accepted changes
	Refused    uint64              `cbor:"refused"`  // number of refused changes so far
	Entries    []EntryRevision     `cbor:"entries"`
	Workspaces []WorkspaceRevision `cbor:"workspaces"`
	Changes    []ChangeOffset      `cbor:"changes"`        // remembered accepted changes, oldest first
	History    []Verdict           `cbor:"history"`        // last verdicts, oldest first
	Seal       []byte              `cbor:"seal,omitempty"` // HMAC-SHA256 over the encoding of the snapshot without this field
}

// EntryRevision is an entry and the offset of the change that set it.
type EntryRevision struct {
	Revision uint64 `cbor:"revision"`
	Entry    Entry  `cbor:"entry"`
}

// WorkspaceRevision is a workspace and the offset of the change that set it.
type WorkspaceRevision struct {
	Revision  uint64    `cbor:"revision"`
	Workspace Workspace `cbor:"workspace"`
}

// ChangeOffset is the id of an accepted change, its offset and the hash of its content.
type ChangeOffset struct {
	ID      string `cbor:"id"`
	Offset  uint64 `cbor:"offset"`
	Content uint64 `cbor:"content"`
}

// Authenticate sets the snapshot's HMAC, made with a key that the instances share; the error says that encoding failed.
func (s *Snapshot) Authenticate(key []byte) error {
	seal, err := s.computeSeal(key)
	if err != nil {
		return err
	}
	s.Seal = seal
	return nil
}

// Authentic reports whether the snapshot's HMAC was made with the key.
func (s *Snapshot) Authentic(key []byte) bool {
	seal, err := s.computeSeal(key)
	return err == nil && hmac.Equal(seal, s.Seal)
}

func (s *Snapshot) computeSeal(key []byte) ([]byte, error) {
	unsealed := *s
	unsealed.Seal = nil
	message, err := encoder.Marshal(&unsealed)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(message)
	return mac.Sum(nil), nil
}
