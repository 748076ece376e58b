package main

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// truncated empties an engine, one in twenty of whose streams has neither a length nor chunks, and counts the streams that end as complete before
// their last event (ORDER). The engine that the runs are moved to has no room for last copies from a while after the notice on.
func truncated(w *world) (int, error) {
	const (
		streams  = 20
		small    = 500  // prompt tokens
		large    = 3000 // of the stream without a length
		events   = 400
		full     = 1400 * time.Millisecond // after the notice, from which on the other engine has no room for last copies
		unframed = "d00"
	)
	one, err := w.engines.start("m-one", serviceModel, "a", fmt.Sprintf(modelPlace, 1), func(e *engine) {
		e.unframed = func(id string) bool { return id == unframed }
	})
	if err != nil {
		return 0, err
	}
	if err := w.publish(1, serviceDesk, keyKept); err != nil {
		return 0, err
	}
	if err := w.start(w.store.address, "a", "b"); err != nil {
		return 0, err
	}
	for n := range streams {
		prompt := small
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
	var noticed time.Time
	if _, err = w.engines.start("m-two", serviceModel, "b", fmt.Sprintf(modelPlace, 2), func(e *engine) {
		e.hasRoom = func() bool { return time.Since(noticed) < full }
	}); err != nil {
		return 0, err
	}
	time.Sleep(2 * time.Second)
	if w.trouble {
		noticed = time.Now()
		one.drain()
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
