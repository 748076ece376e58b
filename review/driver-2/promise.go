package main

import (
	"bytes"
	"fmt"
	"time"
)

// playPromise has two of four servers spoil one of 20 of their answers for some seconds: in place of its answer to a request that it has run, a server
// sends a 503 without a signature and without Not-Executed. No client may be told by a 429, 503, 408 or 421 that a request was not run which has run.
func playPromise(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, config(7, route("r-log", "/pule252/", "non_idempotent", "isportal", 1)), portals(4), 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	t := newTraffic(r, s)
	t.play(trouble, func(n int, a *arrival, answer []byte) []byte {
		if n%spoiltEvery != 0 {
			return answer
		}
		r.note("server spoils its answer to %s", a.id)
		return response(503, "", "", "")
	})
	ran := make(map[string]bool)
	for _, e := range s.engines {
		for _, a := range e.seen() {
			ran[a.id] = ran[a.id] || a.run
			r.note("server %s run=%v %s %s %s", e.id, a.run, a.id, a.method, a.target)
		}
	}
	var breaks []string
	for _, a := range t.answers {
		promised := a.status == 429 || a.status == 503 || a.status == 408 || a.status == 421
		if a.err == nil && promised && ran[a.id] {
			breaks = append(breaks, fmt.Sprintf("REFUSED: %s got %d and has run", a.id, a.status))
		}
	}
	return breaks, nil
}

// playSpoilt has two of four servers spoil one of 20 of their answers for some seconds: the three digits of the status come as zeros. No client may get
// a success that no server has signed.
func playSpoilt(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, config(7, route("r-log", "/pule252/", "non_idempotent", "isportal", 1)), portals(4), 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	t := newTraffic(r, s)
	t.play(trouble, func(n int, a *arrival, answer []byte) []byte {
		if n%spoiltEvery != 0 {
			return answer
		}
		r.note("server spoils its answer to %s", a.id)
		return bytes.Replace(answer, []byte("HTTP/1.1 200"), []byte("HTTP/1.1 000"), 1)
	})
	var breaks []string
	for _, a := range t.answers {
		if a.err == nil && a.status >= 200 && a.status < 300 && !isSigned(a) {
			breaks = append(breaks, fmt.Sprintf("MIXED: %s got %d without the server's signature", a.id, a.status))
		}
	}
	return breaks, nil
}

// The dose of the spoilt answers.
const (
	spoiltEvery = 20              // one answer in 20 is spoilt: x = 0.05
	spoiltFor   = 6 * time.Second // of at most 6.57 s
)

// play sends requests of one route for some seconds; while there is trouble, half of the servers have the fault.
func (t *traffic) play(trouble bool, fault func(n int, a *arrival, answer []byte) []byte) {
	began := time.Now()
	for time.Since(began) < spoiltFor+2*time.Second {
		since := time.Since(began)
		active := trouble && since > time.Second && since < time.Second+spoiltFor
		for _, e := range t.site.engines[:len(t.site.engines)/2] {
			if active {
				e.setFault(fault)
			} else {
				e.setFault(nil)
			}
		}
		t.send("POST", "/pule252/2f")
		time.Sleep(sendPause)
	}
	t.wait()
}
