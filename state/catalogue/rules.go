package catalogue

import "crypto/ed25519"

// Rules is what a fold needs beside the log; all instances must have the same.
type Rules struct {
	Operators   map[string]ed25519.PublicKey // empty: changes need no signature
	SnapshotKey []byte                       // HMAC key of snapshots; empty: snapshots need none
}

// Signed tells whether the rules let the change pass as its operator's.
func (r Rules) Signed(c *Change) bool {
	if len(r.Operators) == 0 {
		return true
	}
	return c.Signed(r.Operators[c.Operator])
}
