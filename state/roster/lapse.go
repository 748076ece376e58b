package roster

import (
	"time"

	"dogwooddyke/state/position"
)

const (
	lapseDivisor = 4                       // endpoints that vanish together count as lapsed if they exceed the number listed divided by this
	lapseWindow  = 2500 * time.Millisecond // time within which endpoints that vanish are counted together
)

// lapsed reports whether endpoints that vanish from the endpoint list around an outage of the list are probably alive, with list entries
// that merely expired. Two situations look alike at first. During an outage the entries of dozens of live engines can expire; treating
// all of them as gone would refuse requests that they could serve. An engine can also be reclaimed at short notice just after an outage;
// waiting for its entry to come back would lose its runs. Therefore a small number of vanished endpoints is treated as gone at once, and
// so is any endpoint that has written to the list since the outage began.
func lapsed(vanished, listed int) bool { return vanished*lapseDivisor > listed }

// RemoveVanished processes endpoints that vanished from the endpoint list shortly after an outage of the list that began at position lostAt.
// It removes those that are treated as gone and returns their changes; the others stay until Expire removes them or they are listed again.
func (t *Table) RemoveVanished(changes []Change, lostAt position.Position, now time.Time) []Change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	var vanished, gone []Change
	for _, c := range changes {
		e := t.entries[c.ID]
		switch {
		case e == nil, e.gone, c.Before(e.position), !e.missingSince.IsZero():
		case !e.position.Before(lostAt):
			t.remove(e, c.Position, now)
			gone = append(gone, c)
		default:
			vanished = append(vanished, c)
		}
	}
	haveLapsed := t.manyLapsed(len(vanished), now)
	for _, c := range vanished {
		e := t.entries[c.ID]
		if e.vanishedAt = now; haveLapsed {
			e.position, e.missingSince = c.Position, now
			continue
		}
		t.remove(e, c.Position, now)
		gone = append(gone, c)
	}
	return gone
}

// manyLapsed reports whether, with more endpoints vanishing now, so many have vanished recently that their list entries have probably
// expired; the caller holds the mutex.
func (t *Table) manyLapsed(more int, now time.Time) bool {
	listed, vanished := 0, more
	for _, e := range t.entries {
		recent := !e.vanishedAt.IsZero() && now.Sub(e.vanishedAt) < lapseWindow
		if recent {
			vanished++
		}
		if recent || !e.gone {
			listed++
		}
	}
	return lapsed(vanished, listed)
}
