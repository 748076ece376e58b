package catalogue

import (
	"crypto/hmac"
	"crypto/sha256"
)

// Snapshot is the whole state of the fold after the record at the offset that it covers.
type Snapshot struct {
	Covers     uint64              `cbor:"covers"`
	Revision   uint64              `cbor:"revision"` // offset of the last accepted change
	Horizon    uint64              `cbor:"horizon"`  // offset of the last change whose id is forgotten
	Digest     []byte              `cbor:"digest"`   // chained over the accepted changes
	Refused    uint64              `cbor:"refused"`
	Entries    []EntryRevision     `cbor:"entries"`
	Workspaces []WorkspaceRevision `cbor:"workspaces"`
	Changes    []ChangeOffset      `cbor:"changes"` // remembered ids, oldest first
	History    []Verdict           `cbor:"history"` // oldest first
	Seal       []byte              `cbor:"seal,omitempty"`
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

// ChangeOffset is the id of an accepted change, its offset and a hash of what it says.
type ChangeOffset struct {
	ID      string `cbor:"id"`
	Offset  uint64 `cbor:"offset"`
	Content uint64 `cbor:"content"`
}

// Authenticate sets the HMAC of a key that instances share.
func (s *Snapshot) Authenticate(key []byte) error {
	seal, err := s.seal(key)
	if err != nil {
		return err
	}
	s.Seal = seal
	return nil
}

// Authentic tells whether the snapshot carries the key's HMAC.
func (s *Snapshot) Authentic(key []byte) bool {
	seal, err := s.seal(key)
	return err == nil && hmac.Equal(seal, s.Seal)
}

func (s *Snapshot) seal(key []byte) ([]byte, error) {
	open := *s
	open.Seal = nil
	message, err := encoder.Marshal(&open)
	if err != nil {
		return nil, err
	}
	mac := hmac.New(sha256.New, key)
	_, _ = mac.Write(message)
	return mac.Sum(nil), nil
}
