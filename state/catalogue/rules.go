package catalogue

import "crypto/ed25519"

// Rules holds the keys by which a fold checks changes and snapshots; all instances must use the same rules.
type Rules struct {
	Operators          map[string]ed25519.PublicKey // public keys by operator's name; if empty, changes need no signature
	FormerOperators    map[string]ed25519.PublicKey // previous keys by operator's name, also accepted during a rotation
	SnapshotKey        []byte                       // HMAC key of new snapshots; if empty, snapshots need no HMAC
	FormerSnapshotKeys [][]byte                     // previous HMAC keys, also accepted during a rotation
}

// Signed reports whether the change has a valid signature of its operator, or needs none under these rules.
func (r Rules) Signed(c *Change) bool {
	if len(r.Operators) == 0 {
		return true
	}
	return c.Signed(r.Operators[c.Operator]) || c.Signed(r.FormerOperators[c.Operator])
}

// authentic reports whether the snapshot has a valid HMAC of one of the keys, or needs none under these rules.
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
