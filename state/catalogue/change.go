package catalogue

import (
	"crypto/ed25519"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// The kinds of subject.
const (
	SubjectEntry     SubjectKind = "entry"
	SubjectWorkspace SubjectKind = "workspace"
)

// SubjectKind is the kind of thing that a change applies to: an entry or a workspace.
type SubjectKind string

// Subject identifies one entry or workspace by kind and name.
type Subject struct {
	Kind SubjectKind `cbor:"kind" json:"kind"`
	Name string      `cbor:"name" json:"name"`
}

// Change is an operator's request to add, replace or remove one entry or workspace.
type Change struct {
	ID        string     `cbor:"id"`
	Operator  string     `cbor:"operator"`
	Base      uint64     `cbor:"base"` // revision of the subject that the change replaces; 0 if the subject must not exist yet
	Seen      uint64     `cbor:"seen"` // offset of the last record that the operator had read when preparing the change
	Entry     *Entry     `cbor:"entry,omitempty"`
	Workspace *Workspace `cbor:"workspace,omitempty"`
	Removal   *Subject   `cbor:"removal,omitempty"`
	Signature []byte     `cbor:"signature,omitempty"` // Ed25519 signature over the encoding of the change without this field
}

// Subject returns the entry or workspace that the change applies to; false if the change does not name exactly one.
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

// Sign sets the signature, made with the operator's private key; the error says that the change could not be encoded.
func (c *Change) Sign(key ed25519.PrivateKey) error {
	message, err := c.signedMessage()
	if err != nil {
		return err
	}
	c.Signature = ed25519.Sign(key, message)
	return nil
}

// Signed reports whether the signature was made with the private key of this public key.
func (c *Change) Signed(key ed25519.PublicKey) bool {
	if len(key) != ed25519.PublicKeySize {
		return false
	}
	message, err := c.signedMessage()
	return err == nil && ed25519.Verify(key, message, c.Signature)
}

// signedMessage returns the bytes that the signature covers: the encoding of the change without its signature.
func (c *Change) signedMessage() ([]byte, error) {
	unsigned := *c
	unsigned.Signature = nil
	return encoder.Marshal(&unsigned)
}

// contentHash returns a hash of the change without the fields that may differ between two attempts to publish it.
func (c *Change) contentHash() (uint64, error) {
	content := *c
	content.ID, content.Base, content.Seen, content.Signature = "", 0, 0, nil
	encoded, err := encoder.Marshal(&content)
	if err != nil {
		return 0, err
	}
	digest := sha256.Sum256(encoded)
	return binary.BigEndian.Uint64(digest[:8]), nil
}

// DeriveID returns an id that depends only on the content, the operator and the base revision, so that running a command again
// publishes a change with the same id.
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
