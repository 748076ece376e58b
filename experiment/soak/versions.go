package soak

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"dogwooddyke/platform/standin"
)

// versions are those of the engines' software; any of them may replace any other.
var versions = []string{standin.FirstVersion, "v1.1", "v1.2"}

// releases draws when a version begins to replace another one, from a source of its own so that each seed keeps its other faults.
func releases(seed uint64, span time.Duration) []step {
	random := rand.New(rand.NewPCG(seed, 0x4e1e))
	var steps []step
	for at := quietLead; at < span-quietTail; at += between(random, leastCalm, mostCalm) {
		steps = append(steps, step{at: at, kind: kindRelease, target: random.IntN(1 << 16), mode: modeSilence, last: leastFault})
	}
	return steps
}

// release is a version that replaces others in steps.
type release struct {
	version string
	left    int // engines that are still to be of that version
}

// release begins to replace engines by those of a version, which may be an older one: the next ones that start are of it, until half have been replaced.
func (s *site) release(p step) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.releasing = release{version: versions[p.target%len(versions)], left: max(s.options.Engines/2, 1)}
}

// nextVersion returns the version of an engine that starts in the place of one of the given version; the caller holds the mutex.
func (s *site) nextVersion(former string) string {
	if s.releasing.left == 0 {
		return former
	}
	s.releasing.left--
	return s.releasing.version
}

// serving is the time in which an engine is in the list as one that takes work.
type serving struct {
	version, place string
	from, to       time.Time // to is zero while it lasts
	held           []span    // in which it takes none
}

// span is a time.
type span struct{ from, to time.Time }

// contains reports whether a time lies within the span or so long after it.
func (s span) contains(at time.Time, after time.Duration) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to.Add(after)))
}

// serves records that an engine takes work.
func (l *ledger) serves(version, place string) *serving {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	s := &serving{version: version, place: place, from: time.Now()}
	l.servings = append(l.servings, s)
	return s
}

// servesNoMore records that an engine takes no work any more.
func (l *ledger) servesNoMore(s *serving) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s != nil && s.to.IsZero() {
		s.to = time.Now()
	}
}

// holds records that an engine takes no work from now on for the given time.
func (l *ledger) holds(s *serving, last time.Duration) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if s != nil {
		s.held = append(s.held, span{time.Now(), time.Now().Add(last)})
	}
}

// isAvailable reports whether an engine can take a stream at a time, as far as instances have learnt of it; the caller holds the mutex.
func (l *ledger) isAvailable(s *serving, at time.Time) bool {
	if !(span{s.from.Add(versionLearning), s.to}).contains(at, 0) {
		return false
	}
	if slices.ContainsFunc(s.held, func(h span) bool { return h.contains(at, versionLearning) }) {
		return false
	}
	return !slices.ContainsFunc(l.evacuations, func(e *evacuation) bool {
		return e.place == s.place && span{e.began, e.ended}.contains(at, coldTime+versionLearning)
	})
}

// fewest returns the smallest number of engines of a version that could take a stream at any time between two; the caller holds the mutex.
func (l *ledger) fewest(version string, from, to time.Time) int {
	least := len(l.servings)
	for at := from; !at.After(to); at = at.Add(versionStep) {
		count := 0
		for _, s := range l.servings {
			if s.version == version && l.isAvailable(s, at) {
				count++
			}
		}
		least = min(least, count)
	}
	return least
}

// isStranded reports whether a stream had begun at a version of which there was no second engine to go on at, shortly before it ended.
func (l *ledger) isStranded(r record) bool {
	return len(r.versions) > 0 && l.fewest(r.versions[0], r.ended.Add(-versionExcuse), r.ended) < 2
}

// judgeVersions lists the streams that have events of several versions. It reports as well if callers that take streams up again are served less than half
// as often as those that begin one, while two engines of the streams' version can take them. It returns these numbers as well.
func (l *ledger) judgeVersions() (broken []string, summary string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	begins, begun, tries, gone, several := 0, 0, 0, 0, 0
	for _, r := range l.records {
		if len(r.versions) > 1 {
			several++
			broken = append(broken, fmt.Sprintf("events of versions %v: %s of %s at instance %d, began as %q, %s to %s", r.versions, r.id, r.route, r.instance, r.resumes, r.began.Format("05.000"), r.ended.Format("05.000")))
		}
		switch {
		case r.route != routeShort:
		case r.resumes == "":
			begins++
			begun += count(r.hasEvent)
		case l.fewest(r.versions[0], r.began, r.ended) >= 2:
			tries++
			gone += count(r.hasEvent)
		}
	}
	summary = fmt.Sprintf("%d of %d streams go on when they are taken up and could, %d of %d new ones begin, %d have events of several versions", gone, tries, begun, begins, several)
	if tries >= leastTakenUp && 2*gone*begins < begun*tries {
		broken = append(broken, "streams are taken up too rarely: "+summary)
	}
	return broken, summary
}

func count(is bool) int {
	if is {
		return 1
	}
	return 0
}

// streamed is a stream as its caller sees it, over all of its tries.
type streamed struct {
	first    string // request that brought its first event; empty: none has
	last     int    // its latest event
	versions []string
	leaveAt  int // event after which the caller leaves; zero: it stays
}

// read checks that the events after the latest one come once and in order, and that the answer ends as whole only after the last. The caller may leave
// before.
func (s *streamed) read(body io.Reader, id string, count int) (outcome, string) {
	lines, version := bufio.NewReader(body), ""
	line, err := lines.ReadString('\n')
	for ; err == nil; line, err = lines.ReadString('\n') { // a line that breaks off is no event
		line = strings.TrimSuffix(line, "\n")
		if made, found := strings.CutPrefix(line, standin.VersionField); found {
			version = made
		}
		text, found := strings.CutPrefix(line, "data: ")
		if !found {
			continue
		}
		s.last++
		if text != fmt.Sprintf("%s-%d", id, s.last) {
			return outcomeWrong, fmt.Sprintf("event %q in the place of %d", text, s.last)
		}
		s.note(id, version)
		if s.last == s.leaveAt {
			return outcomeLeft, ""
		}
	}
	switch {
	case !errors.Is(err, io.EOF) && s.last == count:
		return outcomeBroken, "end missing"
	case !errors.Is(err, io.EOF):
		return outcomeBroken, fmt.Sprintf("after %d of %d events: %v", s.last, count, err)
	case line != "":
		return outcomeWrong, fmt.Sprintf("ends as whole within line %q", line)
	case s.last != count:
		return outcomeWrong, fmt.Sprintf("ends as whole after %d of %d events", s.last, count)
	}
	return outcomeServed, ""
}

// note notes which request and which version brought an event.
func (s *streamed) note(id, version string) {
	if s.first == "" {
		s.first = id
	}
	if version != "" && !slices.Contains(s.versions, version) {
		s.versions = append(s.versions, version)
	}
}

// follow has a stream to its end, which its caller leaves and takes up again at other instances, also where it broke off.
func (c *caller) follow(d demand) time.Duration {
	s := &streamed{}
	d.events = leastFollowed + c.random.IntN(leastFollowed)
	d.tokens, d.stream = d.events, s
	for try := range mostTries {
		s.leaveAt = 0
		if try < mostTries-1 && c.random.IntN(2) == 0 {
			s.leaveAt = s.last + 1 + c.random.IntN(leastFollowed/4)
		}
		pause := c.call(d)
		if s.last >= d.events {
			return pause
		}
		time.Sleep(pause)
		d.id, d.instance = c.nextID(), c.random.IntN(len(c.nodes))
	}
	return 0
}
