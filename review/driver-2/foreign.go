package main

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// foreignWrites are the numbers of the requests before which the other writer puts its entry: three times, 0.7 s apart.
var foreignWrites = []int{60, 81, 102}

// playForeign has another writer put an entry into the list of servers, three times: under the id of a server of one service it names another service, and it lacks
// the fields zone, version, slots, cold_remaining_ms and sequence. The server's own next heartbeat corrects it each time. No server may run a request of a route
// that has never led to its service.
func playForeign(r *record, trouble bool) ([]string, error) {
	log := route("r-log", "/pule252/", "non_idempotent", "isportal", 1)
	read := route("r-read", "/puxa403/", "idempotent", "isarkiv", 1)
	s, err := newSite(r, config(7, log, read), []string{"isportal", "isarkiv", "isportal", "isarkiv"}, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	began := time.Now()
	t := newTraffic(r, s)
	for n := 0; time.Since(began) < 6*time.Second; n++ {
		if trouble && slices.Contains(foreignWrites, n) {
			victim := s.engines[1]
			entry, err := json.Marshal(map[string]any{"service": "isportal", "address": victim.listener.Addr().String(), "state": "ready"})
			if err != nil {
				return nil, err
			}
			s.store.put("keyed.servers", victim.id, entry)
			r.note("another writer puts servers/%s %s", victim.id, entry)
		}
		if n%2 == 0 {
			t.send("POST", "/pule252/2f")
		} else {
			t.send("GET", "/puxa403/2f")
		}
		time.Sleep(sendPause)
	}
	t.wait()
	allowed := map[string]string{"isportal": "/pule252/", "isarkiv": "/puxa403/"}
	var breaks []string
	for _, e := range s.engines {
		for _, a := range e.seen() {
			r.note("server %s of %s run=%v %s %s %s", e.id, e.service, a.run, a.id, a.method, a.target)
			if a.run && !strings.HasPrefix(a.target, allowed[e.service]) {
				breaks = append(breaks, fmt.Sprintf("ROUTE: %s %s was run by %s of service %s", a.method, a.target, e.id, e.service))
			}
		}
	}
	return breaks, nil
}
