package catalogue

import "crypto/ed25519"

// Rules is what a fold needs beside the log; all instances must have the same.
type Rules struct {
	Operators          map[string]ed25519.PublicKey // empty: changes need no signature
	FormerOperators    map[string]ed25519.PublicKey // keys that are accepted as well during a rotation
	SnapshotKey        []byte                       // HMAC key of snapshots; empty: snapshots need none
	FormerSnapshotKeys [][]byte                     // accepted as well during a rotation
}

// Signed tells whether the rules let the change pass as its operator's.
func (r Rules) Signed(c *Change) bool {
	if len(r.Operators) == 0 {
		return true
	}
	return c.Signed(r.Operators[c.Operator]) || c.Signed(r.FormerOperators[c.Operator])
}

// authentic tells whether the snapshot carries the HMAC of one of the keys.
func (r Rules) authentic(s *Snapshot) bool {
	if len(r.SnapshotKey) == 0 || s.Authentic(r.SnapshotKey) {
		return true
	}
	for _, k := range r.FormerSnapshotKeys {
		if s.Authentic(k) {
			return true
		}
	}
	return false
}
