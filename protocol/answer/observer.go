package answer

// Observer is told of what happens to answers; it must be fast and safe for concurrent use.
type Observer interface {
	StateChanged(transition Transition)
	// Retried reports a new attempt and the cause of the former one's end.
	Retried(id, entry, cause string)
	// Resumed reports a new connection to the same generation.
	Resumed(id, entry string)
	// Replayed reports the end of a replay's comparison.
	Replayed(id, entry string, verified bool)
	// Dropped reports an event that was kept from the caller.
	Dropped(id, entry string, cause Verdict)
}

// noObserver ignores everything.
type noObserver struct{}

func (noObserver) StateChanged(Transition)        {}
func (noObserver) Retried(_, _, _ string)         {}
func (noObserver) Resumed(_, _ string)            {}
func (noObserver) Replayed(_, _ string, _ bool)   {}
func (noObserver) Dropped(_, _ string, _ Verdict) {}
