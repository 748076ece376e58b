package answer

// Observer is notified of events in the processing of answers; its methods must return quickly and be safe for concurrent use.
type Observer interface {
	// StateChanged reports a change of an answer's state.
	StateChanged(transition Transition)
	// Retried reports a new attempt; cause is the reason label of the previous attempt's failure.
	Retried(id, entry, cause string)
	// Resumed reports an attempt to open a new connection to the same generation.
	Resumed(id, entry string)
	// Replayed reports that a replay was verified, or that it differs from the delivered tokens.
	Replayed(id, entry string, verified bool)
	// Dropped reports an event that was not delivered to the caller; cause is the filter's verdict.
	Dropped(id, entry string, cause Verdict)
}

// noObserver is an Observer that ignores all events.
type noObserver struct{}

func (noObserver) StateChanged(Transition)        {}
func (noObserver) Retried(_, _, _ string)         {}
func (noObserver) Resumed(_, _ string)            {}
func (noObserver) Replayed(_, _ string, _ bool)   {}
func (noObserver) Dropped(_, _ string, _ Verdict) {}
