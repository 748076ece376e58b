package main

import (
	"fmt"
	"net/http"
	"time"
)

// stale has all open connections to the platform's store go silent while new ones work, and counts the requests that are handled as only an older
// configuration allows, later than config_apply_ms after the acknowledgement of a newer one (CONFIG).
func stale(w *world) (int, error) {
	const (
		usual  = 33 * time.Second // of running without trouble before
		recent = 2 * time.Second  // from an ordinary change of the configuration until the connections go silent
		window = 4 * time.Second  // from then until the next change; more than stability_window_ms
		watch  = 18 * time.Second // after config_apply_ms
		margin = 100 * time.Millisecond
		every  = 250 * time.Millisecond
	)
	for n, service := range []string{serviceDesk, serviceSecondary} {
		if _, err := w.engines.start("s-"+service, service, "a", fmt.Sprintf(modelPlace, n+1), nil); err != nil {
			return 0, err
		}
	}
	if err := w.publish(1, serviceDesk, keyKept, keyRemoved); err != nil {
		return 0, err
	}
	p, err := newProxy(loopback+":0", w.store.address)
	if err != nil {
		return 0, err
	}
	w.proxy = p
	if err := w.start(p.address(), "a", "b", "c"); err != nil {
		return 0, err
	}
	number := 0
	traffic := func(until time.Time, keys ...string) {
		for time.Now().Before(until) {
			for _, i := range w.instances {
				for _, key := range keys {
					number++
					w.send(payout(fmt.Sprintf("p%04d", number), key), i)
				}
			}
			time.Sleep(every)
		}
	}
	traffic(time.Now().Add(usual), keyKept)
	if err := w.publish(2, serviceDesk, keyKept, keyRemoved); err != nil {
		return 0, err
	}
	traffic(time.Now().Add(recent), keyKept)
	if w.trouble {
		w.record.line("network: all open connections to the store go silent; new ones work")
		p.silence()
	}
	traffic(time.Now().Add(window), keyKept)
	if err := w.publish(3, serviceSecondary, keyKept); err != nil {
		return 0, err
	}
	inForce := time.Now().Add(applyMS*time.Millisecond + margin)
	traffic(inForce.Add(watch), keyKept, keyRemoved)
	w.clients.Wait()
	return w.countStale(inForce), nil
}

// countStale counts the requests sent after the time that ran with the removed key, or at the service that no route leads to any more.
func (w *world) countStale(inForce time.Time) int {
	service := make(map[string]string)
	for _, s := range w.engines.work() {
		service[s.id] = s.service
	}
	broken := 0
	for _, a := range w.attempts {
		ranBy := service[a.id]
		if a.sentAt.Before(inForce) || ranBy == "" && a.status != http.StatusNotFound {
			continue
		}
		if a.key == keyRemoved || ranBy == serviceDesk {
			broken++
			w.record.line("CONFIG: %s with key %s was sent %d ms after the bound and was run by %s, status %d", a.id, a.key, a.sentAt.Sub(inForce).Milliseconds(), ranBy, a.status)
		}
	}
	return broken
}
