package hosted

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
)

// versionedStream is a stream as its caller sees it, over all of its tries.
type versionedStream struct {
	id       string   // of the request that brought its first event
	versions []string // that made its events
	last     int      // its latest event
	path     string
	response *http.Response
	lines    *bufio.Reader
}

// beginStream sends a request for a resumable stream.
func (f *fleet) beginStream(i *Instance, id string, tokens int) *versionedStream {
	f.t.Helper()
	return f.open(&versionedStream{id: id, path: "/short/"}, i, id, map[string]string{standin.HeaderTokens: fmt.Sprint("100,", tokens)})
}

// takeUp leaves a stream and takes it up at an instance, under the id of another request. It returns the status of the answer.
func (f *fleet) takeUp(s *versionedStream, i *Instance, id string, tokens int) int {
	f.t.Helper()
	_ = s.response.Body.Close()
	f.open(s, i, id, map[string]string{standin.HeaderTokens: fmt.Sprint("100,", tokens), standin.HeaderLastEvent: strconv.Itoa(s.last), standin.HeaderResumes: s.id})
	return s.response.StatusCode
}

func (f *fleet) open(s *versionedStream, i *Instance, id string, headers map[string]string) *versionedStream {
	f.t.Helper()
	s.response = f.send(requestSpec{instance: i, method: "POST", path: s.path, id: id, headers: headers})
	f.t.Cleanup(func() { _ = s.response.Body.Close() })
	s.lines = bufio.NewReader(s.response.Body)
	return s
}

// read reads events until so many have come in all, or the answer ends.
func (s *versionedStream) read(count int) error {
	version := ""
	for s.last < count {
		line, err := s.lines.ReadString('\n')
		if err != nil {
			return err
		}
		if made, found := strings.CutPrefix(strings.TrimSpace(line), standin.VersionField); found {
			version = made
		}
		if number, found := strings.CutPrefix(strings.TrimSpace(line), "id: "); found {
			if number != strconv.Itoa(s.last+1) {
				return fmt.Errorf("event %s follows %d", number, s.last)
			}
			s.last++
			if !slices.Contains(s.versions, version) {
				s.versions = append(s.versions, version)
			}
		}
	}
	return nil
}

// startVersion starts a model engine with a version of the software and lists it.
func (f *fleet) startVersion(id, version string) *standin.Engine {
	e := f.engines.StartVersion(id, version)
	f.t.Cleanup(e.Close)
	f.log.Put(platform.TopicEndpoints, id, e.Entry("model", "a", "ready"))
	return e
}

// beginAtBothVersions starts instances and two engines of each of two versions, and begins half of the streams at each version.
func (f *fleet) beginAtBothVersions(instances, streams, events int) []*versionedStream {
	f.t.Helper()
	f.publishCatalogue(1, "desk")
	for range instances {
		f.startInstance()
	}
	var all []*versionedStream
	router := f.instances[0].router
	for n, version := range []string{"v1", "v1.1"} {
		earlier := router.Endpoints()
		f.startVersion(fmt.Sprint("m-", 2*n), version)
		f.startVersion(fmt.Sprint("m-", 2*n+1), version)
		f.awaitFleet(2*n + 2)
		for _, a := range earlier {
			router.SetResting(a, time.Now().Add(time.Hour), time.Now())
		}
		for range streams / 2 {
			s := f.beginStream(f.instances[0], fmt.Sprint("s", len(all)), events)
			is.New(f.t).NoErr(s.read(5))
			is.New(f.t).Equal(s.versions, []string{version})
			all = append(all, s)
		}
	}
	for _, a := range router.Endpoints() {
		router.SetResting(a, time.Time{}, time.Now())
	}
	return all
}

// drop takes engines off the list, and waits until all instances know.
func (f *fleet) drop(ids ...string) {
	f.t.Helper()
	before := len(f.instances[0].roster.List())
	for _, id := range ids {
		f.log.Drop(id)
	}
	f.awaitFleet(before - len(ids))
}

// awaitFleet waits until all instances are ready, and know each other and so many engines.
func (f *fleet) awaitFleet(engines int) {
	f.t.Helper()
	for _, i := range f.instances {
		f.awaitReady(i)
		f.eventually("endpoints", func() bool { return len(i.roster.List()) == engines })
		f.eventually("peers", func() bool { return live(i) == len(f.instances) })
	}
}

// A stream whose caller takes it up again went on at engines of another version than the one that began it.
func TestStreamIsTakenUpAtAnotherVersion(t *testing.T) {
	const streams, events = 24, 200
	for _, c := range []struct {
		name    string
		at      func(f *fleet, first *Instance) *Instance
		goingOn int // streams that must go on
	}{
		{"at the same instance", func(_ *fleet, first *Instance) *Instance { return first }, streams},
		{"at another instance", func(f *fleet, _ *Instance) *Instance { return f.instances[1] }, streams},
		{"at an instance that has started since", func(f *fleet, _ *Instance) *Instance {
			f.startInstance()
			f.awaitFleet(4)
			return f.instances[3]
		}, streams},
		{"after the first instance has ended", func(f *fleet, first *Instance) *Instance {
			first.Close()
			return f.instances[1]
		}, streams},
		{"while the log is silent", func(f *fleet, _ *Instance) *Instance {
			f.log.Silence(true)
			f.t.Cleanup(func() { f.log.Silence(false) })
			return f.instances[1]
		}, streams},
		{"with one engine of each version gone", func(f *fleet, _ *Instance) *Instance {
			f.drop("m-0", "m-2")
			return f.instances[1]
		}, streams},
		{"with both engines of the first version gone", func(f *fleet, _ *Instance) *Instance {
			f.drop("m-0", "m-1")
			return f.instances[1]
		}, streams / 2},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			all := f.beginAtBothVersions(3, streams, events)
			next := c.at(f, f.instances[0])
			whole := 0
			statuses := make([]int, len(all))
			for n, s := range all {
				statuses[n] = f.takeUp(s, next, fmt.Sprint("t", n), events)
			}
			mixed := 0
			for n, s := range all {
				if statuses[n] == http.StatusOK && s.read(events) == nil {
					whole++
				}
				if len(s.versions) > 1 {
					mixed++
				}
			}
			t.Logf("%d of %d streams went on, %d at another version", whole, streams, mixed)
			is.Equal(mixed, 0)
			is.True(whole >= c.goingOn)
		})
	}
}

// An engine ends or leaves while another version serves beside it, and its streams went on there.
func TestEndOfEngineMixesVersions(t *testing.T) {
	const streams, events = 12, 200
	crash := func(_ *fleet, e *standin.Engine) { e.Close() }
	vanish := func(f *fleet, e *standin.Engine) {
		f.log.Drop(e.ID)
		time.Sleep(100 * time.Millisecond)
		e.Close()
	}
	leave := func(f *fleet, e *standin.Engine) {
		f.log.Put(platform.TopicEndpoints, e.ID, e.Entry("model", "a", "draining"))
	}
	for _, c := range []struct {
		name   string
		path   string
		others []string // versions of the engines that start beside it
		end    func(f *fleet, e *standin.Engine)
		whole  bool
	}{
		{"it crashes, and one of its version is there", "/short/", []string{"v1", "v1.1", "v1.1", "v1.1"}, crash, true},
		{"it crashes, and none of its version is there", "/short/", []string{"v1.1", "v1.1", "v1.1"}, crash, false},
		{"its entry goes before it crashes, and one of its version is there", "/short/", []string{"v1", "v1.1", "v1.1", "v1.1"}, vanish, true},
		{"its entry goes before it crashes, and none of its version is there", "/short/", []string{"v1.1", "v1.1", "v1.1"}, vanish, false},
		{"it leaves, and one of its version is there", "/long/", []string{"v1", "v1.1", "v1.1"}, leave, true},
		{"it leaves, and none of its version is there", "/long/", []string{"v1.1", "v1.1"}, leave, true}, // its streams stay
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.publishCatalogue(1, "desk")
			first := f.startVersion("m-0", "v1")
			f.startInstance()
			f.awaitFleet(1)
			var all []*versionedStream
			for n := range streams {
				s := &versionedStream{id: fmt.Sprint("s", n), path: c.path}
				f.open(s, f.instances[0], s.id, map[string]string{standin.HeaderTokens: fmt.Sprint("100,", events)})
				is.NoErr(s.read(1))
				all = append(all, s)
			}
			for n, version := range c.others {
				f.startVersion(fmt.Sprint("m-", n+1), version)
			}
			f.awaitFleet(len(c.others) + 1)
			c.end(f, first)
			whole := 0
			for _, s := range all {
				if s.read(events) == nil {
					whole++
				}
				is.Equal(s.versions, []string{"v1"})
				_, _ = io.Copy(io.Discard, s.response.Body) // its end
			}
			t.Logf("%d of %d streams are whole", whole, streams)
			is.Equal(whole == streams, c.whole)
		})
	}
}

// A stream that can go on nowhere gets a refusal that is true, at once, with a time to come back.
func TestStreamThatCanGoOnNowhereIsRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	all := f.beginAtBothVersions(2, 2, 400)
	first, second := all[0], all[1]
	for name, headers := range map[string]map[string]string{
		"without the request that began it": {standin.HeaderLastEvent: "5"},
		"with one that nobody knows":        {standin.HeaderLastEvent: "5", standin.HeaderResumes: "unknown"},
		"with itself":                       {standin.HeaderLastEvent: "5", standin.HeaderResumes: "refused"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			headers[standin.HeaderTokens] = "100,40"
			response, _ := f.request(requestSpec{instance: f.instances[1], method: "POST", path: "/short/", id: "refused", headers: headers})
			is.Equal(response.StatusCode, http.StatusServiceUnavailable)
			seconds, err := strconv.ParseFloat(response.Header.Get(standin.HeaderRetry), 64)
			is.NoErr(err)
			is.True(seconds > 0 && seconds < 2)
			is.Equal(f.engines.Ran("refused"), 0)
		})
	}
	for name, value := range map[string]string{"zero": "0", "no number": "x", "negative": "-3"} {
		t.Run("a stream of which the caller has no event begins anew: "+name, func(t *testing.T) {
			response := f.send(requestSpec{instance: f.instances[1], method: "POST", path: "/short/", id: name, headers: map[string]string{
				standin.HeaderTokens: "100,4", standin.HeaderLastEvent: value, standin.HeaderResumes: "unknown",
			}})
			defer func() { _ = response.Body.Close() }()
			assertEvents(t, response.Body, name, 4)
		})
	}
	t.Run("its version's engines are gone", func(t *testing.T) {
		is := is.New(t)
		f.drop("m-0", "m-1")
		is.Equal(f.takeUp(first, f.instances[1], "gone", 400), http.StatusServiceUnavailable)
		is.True(first.response.Header.Get(standin.HeaderRetry) != "")
		is.Equal(f.engines.Ran("gone"), 0)
	})
	t.Run("one of its version's engines starts again", func(t *testing.T) {
		is := is.New(t)
		f.startVersion("m-9", "v1")
		f.awaitFleet(3)
		is.Equal(f.takeUp(first, f.instances[1], "back", 400), http.StatusOK)
		is.NoErr(first.read(400))
		is.Equal(first.versions, []string{"v1"})
	})
	t.Run("a stream is taken up again and again", func(t *testing.T) {
		is := is.New(t)
		for n := range 4 {
			is.Equal(f.takeUp(second, f.instances[n%2], fmt.Sprint("again-", n), 400), http.StatusOK)
			is.NoErr(second.read(second.last + 5))
		}
		is.Equal(second.versions, []string{"v1.1"})
	})
	is.True(second.last >= 25)
}

// All instances end at once, so that none keeps a beginning. While one version serves that must not cost the callers their streams.
func TestStreamIsTakenUpAfterAllInstancesEnded(t *testing.T) {
	for name, c := range map[string]struct {
		engines []string // versions
		status  int
	}{
		"one version serves":  {[]string{"v1", "v1"}, http.StatusOK},
		"two versions serve":  {[]string{"v1", "v1", "v1.1"}, http.StatusServiceUnavailable},
		"one engine is there": {[]string{"v1"}, http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t)
			f.publishCatalogue(1, "desk")
			for n, version := range c.engines {
				f.startVersion(fmt.Sprint("m-", n), version)
			}
			f.startInstance()
			f.startInstance()
			f.awaitFleet(len(c.engines))
			s := f.beginStream(f.instances[0], "s", 60)
			is.NoErr(s.read(5))
			for _, i := range f.instances {
				i.Close()
			}
			f.instances = nil
			f.startInstance()
			f.startInstance()
			f.awaitFleet(len(c.engines))
			is.Equal(f.takeUp(s, f.instances[1], "t", 60), c.status)
			if c.status == http.StatusOK {
				is.NoErr(s.read(60))
			}
			is.Equal(s.versions, []string{s.versions[0]})
		})
	}
}
