package main

import (
	"errors"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"
)

// truncated empties one of four engines, and counts the streams that end as complete before their last event (ORDER). One in twenty-four streams has
// neither a length nor chunks. The engines that the runs are moved to have no room for last copies from a while after the notice on.
func truncated(w *world) (int, error) {
	const (
		engines  = 4
		streams  = 24
		usual    = 3000 // prompt tokens
		large    = 4000 // of the stream without a length
		events   = 300
		full     = 1400 * time.Millisecond // after the notice, from which on the other engines have no room for last copies
		unframed = "d00"
	)
	var noticed atomic.Pointer[time.Time]
	all := make(map[string]*engine)
	for n := range engines {
		e, err := w.engines.start(fmt.Sprintf("m-%d", n+1), serviceModel, string(rune('a'+n)), fmt.Sprintf(modelPlace, n+1), func(e *engine) {
			e.unframed = func(id string) bool { return id == unframed }
			e.hasRoom = func() bool {
				at := noticed.Load()
				return at == nil || time.Since(*at) < full
			}
		})
		if err != nil {
			return 0, err
		}
		all[e.id] = e
	}
	if err := w.publish(1, serviceDesk, keyKept); err != nil {
		return 0, err
	}
	if err := w.start(w.store.address, "a", "b"); err != nil {
		return 0, err
	}
	for n := range streams {
		prompt := usual
		if n == 0 {
			prompt = large
		}
		w.send(w.digest(fmt.Sprintf("d%02d", n), prompt, events), w.instances[0])
	}
	for limit := time.Now().Add(20 * time.Second); len(w.engines.work()) < streams; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(limit) {
			return 0, errors.New("streams did not start")
		}
	}
	time.Sleep(500 * time.Millisecond)
	if w.trouble {
		for _, s := range w.engines.work() {
			if s.id == unframed {
				now := time.Now()
				noticed.Store(&now)
				all[s.engine].drain()
			}
		}
	}
	w.clients.Wait()
	broken := 0
	for _, a := range w.attempts {
		got, last := a.events(events)
		if a.status == http.StatusOK && a.broken == nil && !last {
			broken++
			w.record.line("ORDER: the stream of %s ended as complete after event %d of %d", a.id, got, events)
		}
	}
	return broken, nil
}
