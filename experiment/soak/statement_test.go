package soak

import (
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

func TestJudgeStatements(t *testing.T) {
	began := time.Unix(1000, 0)
	at := func(milliseconds int) time.Time { return began.Add(time.Duration(milliseconds) * time.Millisecond) }
	request := func(milliseconds int, change func(s *standin.Seen)) standin.Seen {
		s := standin.Seen{Header: http.Header{standin.HeaderRequest: {"r"}}, At: at(milliseconds)}
		if change != nil {
			change(&s)
		}
		return s
	}
	resting := func(s *standin.Seen) { s.RestUntil = at(5000) }
	leaving := func(s *standin.Seen) { s.Leaving = true }
	broken := func(troubles []trouble, seen ...standin.Seen) int {
		l := &ledger{troubles: troubles, records: []record{{id: "r", instance: 1}}}
		return len(l.againstWord("e-1", seen, l.instances(), 3))
	}
	t.Run("a request in the rest is one, also after others", func(t *testing.T) {
		is := is.New(t)
		is.Equal(broken(nil, request(0, resting), request(500, resting), request(1500, resting), request(5500, nil)), 1)
	})
	t.Run("a request later than the drain time is one", func(t *testing.T) {
		is := is.New(t)
		is.Equal(broken(nil, request(0, leaving), request(2900, leaving), request(3100, leaving)), 1)
	})
	t.Run("an endpoint that stays after all may get requests", func(t *testing.T) {
		is := is.New(t)
		is.Equal(broken(nil, request(0, leaving), request(2000, nil), request(3100, nil), request(9000, leaving)), 0)
	})
	t.Run("a killed instance and a harmed link are excused", func(t *testing.T) {
		is := is.New(t)
		killed := []trouble{{step: step{kind: kindKill, target: 1}, began: at(100), ended: at(200)}}
		is.Equal(broken(killed, request(0, resting), request(1500, resting)), 0)
		harmed := []trouble{{step: step{kind: kindEngine}, began: at(0), ended: at(200)}}
		is.Equal(broken(harmed, request(0, resting), request(1500, resting)), 0)
	})
}
