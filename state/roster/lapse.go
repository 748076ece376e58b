package roster

import "time"

const (
	lapsePart   = 4                       // more than the list's part by this number vanish at once only where they have lapsed
	lapseWindow = 2500 * time.Millisecond // in which endpoints that vanish are counted together
)

// lapsed tells whether endpoints that vanish from the list around an outage of it have only lapsed, and will be back. It answers two
// load patterns that look alike at first: an outage in which the entries of engines that live expire by the dozen, where taking
// them all for gone would refuse what they could serve; and an engine that is reclaimed at short notice just after an outage, where
// waiting to see whether its entry comes back would lose its runs. Few that vanish are taken at their word, and so is one that has
// written to the list since it was lost.
func lapsed(vanished, listed int) bool { return vanished*lapsePart > listed }

// RemoveVanished takes in endpoints that vanished from the list shortly after it was lost at the offset, and returns those that are taken for
// gone; the others stay until they are settled.
func (t *Table) RemoveVanished(changes []Change, lostAt int64, now time.Time) []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var vanished, gone []Change
	for _, c := range changes {
		k := t.entries[c.ID]
		switch {
		case k == nil, k.gone, c.Offset < k.offset, !k.missing.IsZero():
		case k.offset >= lostAt:
			t.remove(k, c.Offset, now)
			gone = append(gone, c)
		default:
			vanished = append(vanished, c)
		}
	}
	mass := t.mass(len(vanished), now)
	for _, c := range vanished {
		k := t.entries[c.ID]
		if k.vanished = now; mass {
			k.offset, k.missing = c.Offset, now
			continue
		}
		t.remove(k, c.Offset, now)
		gone = append(gone, c)
	}
	return gone
}

// mass tells whether so many more endpoints vanish that they have lapsed; the mutex is held.
func (t *Table) mass(more int, now time.Time) bool {
	listed, vanished := 0, more
	for _, k := range t.entries {
		late := !k.vanished.IsZero() && now.Sub(k.vanished) < lapseWindow
		if late {
			vanished++
		}
		if late || !k.gone {
			listed++
		}
	}
	return lapsed(vanished, listed)
}
