package instance

import "sync"

// labels bounds the values of a metrics label: those beyond the bound share one.
type labels struct {
	mutex sync.RWMutex
	known map[string]struct{}
	limit int
}

func newLabels(limit int) *labels {
	return &labels{known: make(map[string]struct{}), limit: limit}
}

// of returns the value, or otherLabel when there are too many.
func (l *labels) of(value string) string {
	l.mutex.RLock()
	_, ok := l.known[value]
	l.mutex.RUnlock()
	if ok {
		return value
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if len(l.known) >= l.limit {
		return otherLabel
	}
	l.known[value] = struct{}{}
	return value
}
