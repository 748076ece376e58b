package hosted

import (
	"time"

	"dogwooddyke/platform"
	"dogwooddyke/state/evacuation"
	"dogwooddyke/state/position"
)

// applyEvacuations applies the operators' orders among the records of the log.
func (i *Instance) applyEvacuations(records []platform.Record) {
	for _, c := range evacuationsOf(records) {
		i.applyEvacuation(c, "log")
	}
}

// applyEvacuation applies an order, and has the next report tell the others if it is news: some of them may not reach the log.
func (i *Instance) applyEvacuation(c evacuation.Change, source string) {
	if !i.evacuations.Apply(c, time.Now()) {
		return
	}
	i.observer.evacuationChanged(c.DataCentre, c.Withdrawn, source)
	i.refreshRouter()
	i.gossiper.reportSoon()
}

// replaceEvacuations applies the list of all orders that the log holds at a position.
func (i *Instance) replaceEvacuations(list []evacuation.Change, at position.Position, source string) {
	for _, c := range list {
		i.applyEvacuation(c, source)
	}
	i.noteWithdrawn(i.evacuations.Replace(list, at, time.Now()), source)
}

// expireEvacuations withdraws the orders that a restored log has lacked for too long.
func (i *Instance) expireEvacuations(now time.Time) {
	i.noteWithdrawn(i.evacuations.Expire(now), "expiry")
}

// noteWithdrawn lets requests go to the data centres whose orders were withdrawn.
func (i *Instance) noteWithdrawn(dataCentres []string, source string) {
	for _, d := range dataCentres {
		i.observer.evacuationChanged(d, true, source)
	}
	if len(dataCentres) > 0 {
		i.refreshRouter()
	}
}

// receiveEvacuations applies the orders in another instance's report. One that is older than what this instance has read of the log, and that it does
// not know, has been withdrawn and forgotten here.
func (i *Instance) receiveEvacuations(changes []evacuation.Change, source string) {
	for _, c := range changes {
		if read := i.operatorPosition.Load(); read == nil || !c.Position.Before(*read) || i.evacuations.Contains(c.DataCentre) {
			i.applyEvacuation(c, source)
		}
	}
}

// evacuationsOf returns the orders among the records of the log.
func evacuationsOf(records []platform.Record) []evacuation.Change {
	var list []evacuation.Change
	for _, r := range records {
		if c, found := platform.DecodeEvacuation(r); found {
			list = append(list, c)
		}
	}
	return list
}
