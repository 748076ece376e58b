package catalogue

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Kind names of what a change is about.
const (
	SubjectEntry     SubjectKind = "entry"
	SubjectWorkspace SubjectKind = "workspace"
)

// SubjectKind tells entries from workspaces.
type SubjectKind string

// Subject names one entry or workspace.
type Subject struct {
	Kind SubjectKind `cbor:"kind" json:"kind"`
	Name string      `cbor:"name" json:"name"`
}

// Change is one operator's wish to add, replace or remove one entry or workspace.
type Change struct {
	ID        string     `cbor:"id"`
	Operator  string     `cbor:"operator"`
	Base      uint64     `cbor:"base"` // revision of the subject that the change replaces; 0: there is none
	Seen      uint64     `cbor:"seen"` // offset through which the operator had read the stream
	Entry     *Entry     `cbor:"entry,omitempty"`
	Workspace *Workspace `cbor:"workspace,omitempty"`
	Removal   *Subject   `cbor:"removal,omitempty"`
	Signature []byte     `cbor:"signature,omitempty"` // Ed25519 over the change without it
}

// Subject returns what the change is about, or false if it does not name exactly one thing.
func (c *Change) Subject() (Subject, bool) {
	switch {
	case c.Entry != nil && c.Workspace == nil && c.Removal == nil:
		return Subject{Kind: SubjectEntry, Name: c.Entry.Name}, true
	case c.Entry == nil && c.Workspace != nil && c.Removal == nil:
		return Subject{Kind: SubjectWorkspace, Name: c.Workspace.Name}, true
	case c.Entry == nil && c.Workspace == nil && c.Removal != nil:
		kind := c.Removal.Kind
		return *c.Removal, kind == SubjectEntry || kind == SubjectWorkspace
	}
	return Subject{}, false
}

// Sign sets the signature of the operator's key.
func (c *Change) Sign(key ed25519.PrivateKey) error {
	message, err := c.message()
	if err != nil {
		return err
	}
	c.Signature = ed25519.Sign(key, message)
	return nil
}

// Signed tells whether the signature is the key's.
func (c *Change) Signed(key ed25519.PublicKey) bool {
	if len(key) != ed25519.PublicKeySize {
		return false
	}
	message, err := c.message()
	return err == nil && ed25519.Verify(key, message, c.Signature)
}

// message returns the bytes that are signed.
func (c *Change) message() ([]byte, error) {
	unsigned := *c
	unsigned.Signature = nil
	return encoder.Marshal(&unsigned)
}

// content returns a hash of what the change says, without what may differ between two attempts at it.
func (c *Change) content() (uint64, error) {
	content := *c
	content.ID, content.Base, content.Seen, content.Signature = "", 0, 0, nil
	encoded, err := encoder.Marshal(&content)
	if err != nil {
		return 0, err
	}
	digest := sha256.Sum256(encoded)
	return binary.BigEndian.Uint64(digest[:8]), nil
}

// DeriveID returns an id that is the same for the same content on the same base, so that a repeated command repeats its change.
func (c *Change) DeriveID() (string, error) {
	content := *c
	content.ID, content.Seen, content.Signature = "", 0, nil
	encoded, err := encoder.Marshal(&content)
	if err != nil {
		return "", err
	}
	digest := sha256.Sum256(encoded)
	return hex.EncodeToString(digest[:16]), nil
}
