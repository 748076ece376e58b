package soak

import (
	"context"
	"net/http"
	"time"

	"dogwooddyke/internal/wait"
)

// keepCopies makes copies of the log until the channel is closed.
func (s *site) keepCopies(over <-chan struct{}) {
	ticker := time.NewTicker(copyInterval)
	defer ticker.Stop()
	for {
		s.mutex.Lock()
		s.copies = append(s.copies, s.log.Copy())
		s.copies = s.copies[max(len(s.copies)-mostCopies, 0):]
		s.mutex.Unlock()
		select {
		case <-over:
			return
		case <-ticker.C:
		}
	}
}

// restoreLog has the log be away and come back from one of the copies. After that the operator and the engines write again what they have
// written, the engines that have left too.
func (s *site) restoreLog(ctx context.Context, p step) bool {
	s.away.RLock()
	defer s.away.RUnlock()
	s.log.Refuse(http.StatusServiceUnavailable)
	err := wait.For(ctx, p.last/2)
	s.mutex.Lock()
	s.log.Restore(s.copies[p.target%len(s.copies)])
	s.mutex.Unlock()
	s.log.Refuse(0)
	if err != nil || wait.For(ctx, heartbeat/2) != nil {
		return false
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeCatalogue()
	for _, place := range dataCentres {
		s.writeOrder(place)
	}
	for _, m := range s.fleet {
		s.list(m)
	}
	for _, m := range s.gone {
		if m.state != "ready" { // a crashed engine writes nothing
			s.list(m)
		}
	}
	return true
}
