package position

import "cmp"

// Position is the place of a record in the order of all records that a partition of the platform's log has held. The log uses an offset
// again after it was restored from an older copy, so an offset orders records only within one era.
type Position struct {
	Era    int64 // number of the log's restores, as the log counts them; 0 if the log does not send it
	Offset int64
}

// Compare returns -1 if the position is before the other one, 1 if it is after it, and 0 if they are equal.
func (p Position) Compare(other Position) int {
	return cmp.Or(cmp.Compare(p.Era, other.Era), cmp.Compare(p.Offset, other.Offset))
}

// Before reports whether the position is before the other one.
func (p Position) Before(other Position) bool { return p.Compare(other) < 0 }

// Latest returns the later of two positions.
func Latest(a, b Position) Position {
	if a.Before(b) {
		return b
	}
	return a
}
