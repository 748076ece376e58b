package hosted

import "time"

// logRestored handles the news that the log was restored from an older copy. The consumers list their topics again when they next read;
// what this instance has written itself is written again by register.
func (i *Instance) logRestored(previous, era int64) {
	now := time.Now()
	i.restoredAt.Store(&now)
	i.observer.logRestored(previous, era)
	signal(i.restored)
}

// checkSettled reports, once after each restore of the log, that the restored endpoint list and this instance's state agree again.
func (i *Instance) checkSettled(now time.Time) {
	restored := i.restoredAt.Load()
	if restored == nil || i.listPosition().Era < i.log.Era() || i.roster.MissingCount() > 0 {
		return
	}
	if i.restoredAt.CompareAndSwap(restored, nil) {
		i.observer.listSettled(i.log.Era(), len(i.roster.List()), now.Sub(*restored))
	}
}
