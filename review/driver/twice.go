package main

import (
	"fmt"
	"sync"
	"time"
)

// twice has half of the engines lose the answer to one in twenty of the requests that they run, and counts those that go on at another engine
// while the engine before still works on them 400 ms later (TWICE).
func twice(w *world) (int, error) {
	const (
		streams      = 160
		every        = 500 * time.Millisecond
		engines      = 9
		lossyEngines = 4
		prompt       = 600
		lostOne      = 20 // of so many streams that the lossy engines run, one of them loses the answer to one
		lostAt       = 60 // event after which the connection closes
		events       = 150
		bound        = 400 * time.Millisecond
	)
	var mutex sync.Mutex
	lossy := make(map[string]bool) // engines: the first ones that get work
	ran := 0                       // streams that these have run
	losesAt := func(engine string) int {
		mutex.Lock()
		defer mutex.Unlock()
		if len(lossy) < lossyEngines {
			lossy[engine] = true
		}
		if !lossy[engine] {
			return 0
		}
		if ran++; w.trouble && ran%lostOne == lostOne/2 {
			return lostAt
		}
		return 0
	}
	for n := range engines {
		if _, err := w.engines.start(fmt.Sprintf("m-%d", n+1), serviceModel, string(rune('a'+n%3)), fmt.Sprintf(modelPlace, n+1), func(e *engine) {
			e.losesAt = func(string) int { return losesAt(e.id) }
			e.lingers = func() bool { // the five other engines drop what their callers have left
				mutex.Lock()
				defer mutex.Unlock()
				return lossy[e.id]
			}
		}); err != nil {
			return 0, err
		}
	}
	if err := w.publish(1, serviceDesk, keyKept); err != nil {
		return 0, err
	}
	if err := w.start(w.store.address, "a", "b", "c"); err != nil {
		return 0, err
	}
	for n := range streams {
		w.send(w.digest(fmt.Sprintf("d%03d", n), prompt, events), w.instances[n%3])
		time.Sleep(every)
	}
	w.clients.Wait()
	time.Sleep(10 * time.Second) // for engines that work on
	broken := 0
	work := w.engines.work()
	for n, second := range work {
		for _, first := range work[:n] {
			if first.id != second.id || first.engine == second.engine {
				continue
			}
			if first.to.IsZero() || first.to.Sub(second.from) > bound {
				broken++
				w.record.line("TWICE: %s goes on at %s while %s works on it for %d ms more", first.id, second.engine, first.engine, first.to.Sub(second.from).Milliseconds())
			}
		}
	}
	return broken, nil
}
