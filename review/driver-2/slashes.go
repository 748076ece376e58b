package main

import (
	"fmt"
	"time"
)

// playSlashes adds the route "/" by a new configuration, and sends requests whose paths begin with two slashes. No server may run one with another path.
func playSlashes(r *record, trouble bool) ([]string, error) {
	first := route("r-log", "/pule252/", "non_idempotent", "isportal", 1)
	s, err := newSite(r, config(7, first), portals(4), 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	if trouble {
		s.store.put("keyed.op", "config", config(9, first, route("r-all", "/", "non_idempotent", "isportal", 1)))
		r.note("configuration 9 adds the route /")
	}
	time.Sleep(2500 * time.Millisecond)
	sent := make(map[string]string)
	for n := range 40 {
		id, target := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n), fmt.Sprintf("//pule252/2f?n=%d", n)
		if n%2 == 0 {
			target = target[1:]
		}
		sent[id] = target
		r.note("client %s %s", target, send(s.instances[n%len(s.instances)].front, id, "POST", target, "body", callTimeout))
	}
	var breaks []string
	for _, e := range s.engines {
		for _, a := range e.seen() {
			r.note("server %s run=%v %s %s %s", e.id, a.run, a.id, a.method, a.target)
			if a.run && a.target != sent[a.id] {
				breaks = append(breaks, fmt.Sprintf("UNASKED: %s was sent for %s and run for %s", a.id, sent[a.id], a.target))
			}
		}
	}
	return breaks, nil
}
