package main

import (
	"fmt"
	"time"
)

// unanswered stops one of two instances as planned while requests for long streams wait for a place, and counts those whose connection it
// closes without an answer (LOST).
func unanswered(w *world) (int, error) {
	const (
		every   = 300 * time.Millisecond  // between two requests of all clients: four tenths more than the engines serve
		before  = 26 * time.Second        // from the first request until SIGTERM
		routed  = 2300 * time.Millisecond // after SIGTERM, in which the balancer still sends connections: it takes two questions to notice
		after   = 9 * time.Second
		slackMS = 200 // loss_slack_ms
	)
	for n, zone := range []string{"a", "b"} {
		if _, err := w.engines.start("m-"+zone, serviceModel, zone, fmt.Sprintf(modelPlace, n+1), nil); err != nil {
			return 0, err
		}
	}
	if err := w.publish(1, serviceDesk, keyKept); err != nil {
		return 0, err
	}
	if err := w.start(w.store.address, "a", "b"); err != nil {
		return 0, err
	}
	begun := time.Now()
	stopped := begun.Add(before)
	terminated := false
	for n := 0; time.Since(begun) < before+after; n++ {
		now := time.Now()
		if !terminated && now.After(stopped) {
			terminated = true
			if w.trouble {
				w.record.line("platform: SIGTERM to %s", w.instances[0].name)
				w.instances[0].terminate()
			}
		}
		to := w.instances[n%2]
		if w.trouble && now.After(stopped.Add(routed)) {
			to = w.instances[1]
		}
		w.send(w.digest(fmt.Sprintf("d%03d", n), 3000, 232), to)
		time.Sleep(every)
	}
	w.clients.Wait()
	broken := 0
	for _, a := range w.attempts {
		if a.status == 0 && !a.left && a.broken != nil && !w.engines.reached[a.id] && a.endedAt.Sub(a.sentAt).Milliseconds() > slackMS {
			broken++
			w.record.line("LOST: %s was read, had no answer, and its connection was closed %d ms after it was sent", a.id, a.endedAt.Sub(a.sentAt).Milliseconds())
		}
	}
	return broken, nil
}
