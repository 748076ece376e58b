package control

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
)

const testLimit = 10 * time.Second

// newHistoryOf returns the history of accepted changes to the first subjects, one a second.
func newHistoryOf(start time.Time, count int) *history {
	h := &history{}
	var r revisions
	for n := range count {
		offset := uint64(n + 1)
		r[n%subjectCount] = offset
		h.moments = append(h.moments, moment{
			at: start.Add(time.Duration(n) * time.Second), revision: offset, digest: string(rune('a' + n)), revisions: r,
			verdict: catalogue.Verdict{Offset: offset, Outcome: catalogue.OutcomeAccepted},
		})
	}
	return h
}

// show has the node show the catalogue at the offset.
func show(n *node, h *history, offset uint64, at time.Time) {
	m := &h.moments[offset-1]
	n.watch.take(at, &catalogue.View{Offset: offset, Revision: m.revision, Digest: m.digest})
	n.watch.samples[len(n.watch.samples)-1].revisions = m.revisions
}

func TestJudge(t *testing.T) {
	start := time.Now()
	h := newHistoryOf(start, 3)
	newNode := func() *node { return &node{name: "n", startedAt: start, watch: watch{readyAt: start}} }
	after := func(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

	t.Run("inTime", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		show(n, h, 2, after(1.5))
		show(n, h, 3, after(4))
		j := judge([]*node{n}, h, testLimit)
		is.Equal(len(j.late)+len(j.reverted)+len(j.different)+len(j.notReady), 0)
		is.Equal(sumUp(j.delays), Delays{Count: 3, Median: 1500 * time.Millisecond, P99: 1500 * time.Millisecond, Most: 2 * time.Second})
	})
	t.Run("late", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		show(n, h, 3, after(11.5))
		is.Equal(len(judge([]*node{n}, h, testLimit).late), 2)
	})
	t.Run("never", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		show(n, h, 2, after(2))
		is.Equal(len(judge([]*node{n}, h, testLimit).late), 1)
		n.ended = after(11) // too early to tell
		is.Equal(len(judge([]*node{n}, h, testLimit).late), 0)
		n.ended = after(13)
		is.Equal(len(judge([]*node{n}, h, testLimit).late), 1)
	})
	t.Run("newInstanceBeginsWithAll", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		n.watch.readyAt = after(30)
		show(n, h, 3, after(30))
		j := judge([]*node{n}, h, testLimit)
		is.Equal(len(j.late)+len(j.delays), 0)
		is.Equal(j.began, 3)
	})
	t.Run("newInstanceBeginsWithout", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		n.watch.readyAt = after(30)
		show(n, h, 2, after(30))
		show(n, h, 3, after(31))
		is.Equal(len(judge([]*node{n}, h, testLimit).late), 1)
	})
	t.Run("wentBack", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		show(n, h, 3, after(3))
		show(n, h, 2, after(4))
		is.True(len(judge([]*node{n}, h, testLimit).reverted) > 0)
	})
	t.Run("otherCatalogue", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		show(n, h, 3, after(3))
		n.watch.samples[0].revisions[1] = 1
		is.Equal(len(judge([]*node{n}, h, testLimit).different), 1)
	})
	t.Run("neverReady", func(t *testing.T) {
		is := is.New(t)
		n := newNode()
		n.watch.readyAt = time.Time{}
		is.Equal(len(judge([]*node{n}, h, testLimit).notReady), 1)
	})
}

func TestPlan(t *testing.T) {
	is := is.New(t)
	o := &Options{Changes: 20, Seconds: 10, Seed: 7}
	jobs := plan(o)
	is.Equal(jobs, plan(o))
	count := 0
	for _, each := range jobs {
		count += len(each)
	}
	is.Equal(count, 200)
}

// TestRun has three instances, one killed and one drained, during an outage of the log; the bound on time is a generous one.
func TestRun(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report, err := Run(context.Background(), &Options{
		Instances: 3, Changes: 20, Seconds: 3, Seed: 1, Outage: 500 * time.Millisecond, Limit: time.Minute,
		Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	is.NoErr(err)
	for _, c := range report.Checks {
		t.Run(c.Name, func(t *testing.T) {
			if !c.Held {
				t.Error(c.Seen)
			}
		})
	}
	is.True(report.Lived >= 4)
}
