package catalogue

import "crypto/ed25519"

// Rules is what a fold needs beside the log; all instances must have the same.
type Rules struct {
	Operators    map[string][]ed25519.PublicKey // empty: changes need no signature
	SnapshotKeys [][]byte                       // HMAC keys of snapshots, the first for new ones; empty: snapshots need none
}

// Signed tells whether the rules let the change pass as its operator's.
func (r Rules) Signed(c *Change) bool {
	if len(r.Operators) == 0 {
		return true
	}
	for _, k := range r.Operators[c.Operator] {
		if c.Signed(k) {
			return true
		}
	}
	return false
}

// authentic tells whether the snapshot carries the HMAC of one of the keys.
func (r Rules) authentic(s *Snapshot) bool {
	if len(r.SnapshotKeys) == 0 {
		return true
	}
	for _, k := range r.SnapshotKeys {
		if s.Authentic(k) {
			return true
		}
	}
	return false
}
