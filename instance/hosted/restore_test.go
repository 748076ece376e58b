package hosted

import (
	"errors"
	"io"
	"log/slog"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/gossip"
	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// restoredFleet returns a fleet with one engine, m-1, whose entry was written again after the returned copy of the log was made, and an
// instance that has read it.
func restoredFleet(t *testing.T) (*fleet, *Instance, *standin.Engine, standin.Copy) {
	f := newFleet(t)
	f.publishCatalogue(1, "desk")
	engine := f.startEngine("m-1", "model")
	older := f.log.Copy()
	i := f.startInstance()
	f.awaitReady(i)
	for range 5 {
		f.log.Put(platform.TopicEndpoints, "m-1", engine.Entry("model", "a", "ready"))
	}
	f.eventually("the latest entry", func() bool { return i.listPosition().Offset == 6 })
	f.eventually("registration", func() bool { return f.log.Has(topicInstances, i.settings.Name) })
	return f, i, engine, older
}

// isLeaving reports whether the instance knows that the engine is leaving.
func isLeaving(i *Instance, engine *standin.Engine) bool {
	e, _, found := i.roster.Lookup("model", engine.Address())
	return found && e.Leaving
}

func TestLogRestored(t *testing.T) {
	t.Run("a notice is applied though its offset was used before", func(_ *testing.T) {
		f, i, engine, older := restoredFleet(t)
		f.log.Restore(older)
		f.log.Put(platform.TopicEndpoints, "m-1", engine.Entry("model", "a", "draining"))
		f.eventually("notice", func() bool { return isLeaving(i, engine) })
	})
	t.Run("a notice that the copy lacks is kept", func(t *testing.T) {
		is := is.New(t)
		f, i, engine, older := restoredFleet(t)
		f.log.Put(platform.TopicEndpoints, "m-1", engine.Entry("model", "a", "draining"))
		f.eventually("notice", func() bool { return isLeaving(i, engine) })
		f.log.Restore(older)
		f.eventually("list of the new era", func() bool { return i.listPosition().Era == 2 })
		is.True(isLeaving(i, engine))
	})
	t.Run("an engine that the copy lacks stays once it has written again", func(t *testing.T) {
		is := is.New(t)
		f, i, _, older := restoredFleet(t)
		added := f.startEngine("m-2", "model")
		f.eventually("second engine", func() bool { return len(i.roster.List()) == 2 })
		f.log.Restore(older)
		f.eventually("list of the new era", func() bool { return i.listPosition().Era == 2 })
		is.Equal(len(i.roster.List()), 2)
		f.log.Put(platform.TopicEndpoints, "m-2", added.Entry("model", "a", "ready"))
		f.eventually("agreement", func() bool { return i.restoredAt.Load() == nil })
		is.Equal(len(i.roster.List()), 2)
	})
	t.Run("a catalogue version in force stays, and the next one is applied", func(t *testing.T) {
		is := is.New(t)
		f, i, _, older := restoredFleet(t)
		f.publishCatalogue(2, "other")
		f.eventually("version 2", func() bool { return i.catalogueVersion() == 2 })
		f.log.Restore(older)
		f.eventually("list of the new era", func() bool { return i.listPosition().Era == 2 })
		is.Equal(i.catalogueVersion(), int64(2))
		f.publishCatalogue(3, "desk")
		f.eventually("version 3", func() bool { return i.catalogueVersion() == 3 })
	})
	t.Run("the instance registers again after each restore", func(t *testing.T) {
		is := is.New(t)
		f, i, _, older := restoredFleet(t)
		for range 2 {
			f.log.Restore(older)
			is.True(!f.log.Has(topicInstances, i.settings.Name))
			f.eventually("registration", func() bool { return f.log.Has(topicInstances, i.settings.Name) })
		}
	})
	t.Run("a stream in progress is not interrupted", func(t *testing.T) {
		f, i, _, older := restoredFleet(t)
		response := f.send(requestSpec{instance: i, method: "POST", path: "/long/", id: "s1", headers: map[string]string{standin.HeaderTokens: "100,300"}})
		defer func() { _ = response.Body.Close() }()
		f.log.Refuse(http.StatusServiceUnavailable)
		f.log.Restore(older)
		f.log.Refuse(0)
		assertEvents(t, response.Body, "s1", 300)
	})
	t.Run("an instance that the log refuses applies a notice of the new era that a peer reports", func(_ *testing.T) {
		f, _, engine, older := restoredFleet(t)
		refusing := standin.NewLog()
		refusing.Refuse(http.StatusServiceUnavailable)
		t.Cleanup(refusing.Close)
		cut := f.startInstanceWithLog(refusing)
		cut.gossiper.addPeers(f.peerAddresses())
		f.awaitReady(cut)
		f.log.Restore(older)
		f.log.Put(platform.TopicEndpoints, "m-1", engine.Entry("model", "a", "draining"))
		f.eventually("notice", func() bool { return isLeaving(cut, engine) })
	})
}

// An instance that was restarted shortly before a restore of the log can't tell whether the copy lacks an engine or the engine has been
// removed since. It must accept the report of an instance that has known the engine for longer than any copy is old, whose list is older.
func TestConfirmedMissing(t *testing.T) {
	is := is.New(t)
	i := New(newFleet(t).newSettings(), slog.New(slog.NewTextHandler(io.Discard, nil)))
	now := time.Now()
	at := func(era, offset int64) position.Position { return position.Position{Era: era, Offset: offset} }
	engine := &roster.Endpoint{ID: "m-1", Service: "model", Address: netip.MustParseAddrPort("10.0.0.1:80")}
	i.roster.Apply(roster.Change{ID: "m-1", Position: at(1, 9), Endpoint: engine}, now)
	i.roster.Replace(nil, at(2, 7), missingGrace, now)
	i.listRead(at(2, 7))
	is.Equal(len(i.roster.List()), 1)
	is.Equal(len(i.applyUpdates(&gossip.Report{Updates: []roster.Change{{ID: "m-1", Position: at(1, 8)}}})), 0) // of the former era
	is.Equal(len(i.applyUpdates(&gossip.Report{Updates: []roster.Change{{ID: "m-1", Position: at(2, 6)}}})), 1)
	is.Equal(len(i.roster.List()), 0)
}

// A log that deletes records as soon as they are listed must not be asked in a tight loop.
func TestPauseBeforeList(t *testing.T) {
	pauses := func(t *testing.T, uselessLists int) (pause time.Duration, logged string) {
		var text strings.Builder
		c := &consumer{instance: &Instance{logger: slog.New(slog.NewTextHandler(&text, nil))}, uselessLists: uselessLists}
		start := time.Now()
		c.pauseBeforeList(t.Context(), errors.Join(platform.ErrExpired))
		return time.Since(start), text.String()
	}
	t.Run("records that have expired are listed at once", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			pause, logged := pauses(t, 0)
			is := is.New(t)
			is.Equal(pause, time.Duration(0))
			is.Equal(logged, "")
		})
	})
	t.Run("a list after which no read succeeds is made again after a pause", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			pause, logged := pauses(t, 3)
			is := is.New(t)
			is.True(pause >= baseBackoff)
			is.True(strings.Contains(logged, "gone right after"))
		})
	})
}
