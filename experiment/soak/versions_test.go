package soak

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform/standin"
)

func TestStreamed(t *testing.T) {
	event := func(id string, n int, version string) string {
		return fmt.Sprintf("%s%s\nid: %d\ndata: %s-%d\n\n", standin.VersionField, version, n, id, n)
	}
	is := is.New(t)
	s := &streamed{leaveAt: 2}
	got, _ := s.read(strings.NewReader(event("a", 1, "v1")+event("a", 2, "v1")+event("a", 3, "v1")), "a", 4)
	is.Equal(got, outcomeLeft)
	is.Equal(s.first, "a")
	s.leaveAt = 0
	got, _ = s.read(strings.NewReader(event("b", 3, "v2")+event("b", 4, "v2")), "b", 4)
	is.Equal(got, outcomeServed)
	is.Equal(s.first, "a")
	is.Equal(s.versions, []string{"v1", "v2"})
}

func TestJudgeVersions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(seconds int) time.Time { return start.Add(time.Duration(seconds) * time.Second) }
	serves := func(version string, from, to int) *serving {
		return &serving{version: version, place: "a", from: at(from), to: at(to)}
	}
	// judged returns what a ledger finds broken, of streams that begin and others that are taken up, of which so many get an event.
	judged := func(engines []*serving, begun, takenUp, goingOn int, versions ...string) []string {
		l := &ledger{servings: engines}
		for n := range begun + takenUp {
			r := record{id: fmt.Sprint(n), route: routeShort, began: at(10), ended: at(11), versions: versions, hasEvent: n < begun+goingOn}
			if n >= begun {
				r.resumes = "first"
			}
			l.records = append(l.records, r)
		}
		broken, _ := l.judgeVersions()
		return broken
	}
	two := []*serving{serves("v1", 0, 20), serves("v1", 0, 20), serves("v2", 0, 20)}
	t.Run("events of two versions", func(t *testing.T) { is.New(t).Equal(len(judged(two, 1, 0, 0, "v1", "v2")), 1) })
	t.Run("half go on", func(t *testing.T) { is.New(t).Equal(judged(two, 20, 20, 10, "v1"), nil) })
	t.Run("fewer go on", func(t *testing.T) { is.New(t).Equal(len(judged(two, 20, 20, 9, "v1")), 1) })
	t.Run("few are taken up", func(t *testing.T) { is.New(t).Equal(judged(two, 20, leastTakenUp-1, 0, "v1"), nil) })
	t.Run("one engine of the version serves", func(t *testing.T) { is.New(t).Equal(judged(two, 20, 20, 0, "v2"), nil) })
	t.Run("one of two has left", func(t *testing.T) {
		is.New(t).Equal(judged([]*serving{serves("v1", 0, 20), serves("v1", 0, 10)}, 20, 20, 0, "v1"), nil)
	})
	t.Run("one of two rests", func(t *testing.T) {
		resting := serves("v1", 0, 20)
		resting.held = []span{{at(8), at(12)}}
		is.New(t).Equal(judged([]*serving{serves("v1", 0, 20), resting}, 20, 20, 0, "v1"), nil)
	})
}

// A stream without an answer is excused only if there was no second engine of its version.
func TestJudgeStrandedStream(t *testing.T) {
	start := time.Unix(1000, 0)
	for name, c := range map[string]struct {
		engines int
		broken  int
	}{"none other": {1, 0}, "another": {2, 1}} {
		t.Run(name, func(t *testing.T) {
			l := &ledger{records: []record{{id: "r", route: routeLong, outcome: outcomeBroken, versions: []string{"v1"}, began: start.Add(5 * time.Second), ended: start.Add(9 * time.Second)}}}
			for range c.engines {
				l.servings = append(l.servings, &serving{version: "v1", from: start})
			}
			is.New(t).Equal(len(l.judge(3, fakeRuns{ran: 1})), c.broken)
		})
	}
}
