package control

import (
	"context"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

func TestSince(t *testing.T) {
	is := is.New(t)
	start := time.Now()
	former := &reading{at: start, processor: time.Second, bytes: map[string]float64{"a": 100}, most: map[string]float64{"x": 50}}
	next := &reading{
		at: start.Add(10 * time.Second), processor: 3 * time.Second,
		bytes: map[string]float64{"a": 1100, "b": 200}, calls: map[string]float64{"a": 40},
		most: map[string]float64{"x": 1050, "y": 150},
	}
	c := next.since(former, 2)
	is.Equal(c.Bytes, map[string]float64{"a": 50, "b": 10})
	is.Equal(c.Calls, map[string]float64{"a": 2})
	is.Equal(c.Sum, 60.0)
	is.Equal(c.Most, 100.0)
	is.Equal(c.Processor, 0.1)
}

// TestMeasure checks that every kind of control is seen; what it costs is no matter of tests.
func TestMeasure(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	ctx, stop := context.WithCancel(context.Background())
	var group conc.WaitGroup
	defer group.Wait()
	defer stop()
	addresses := make(chan *Addresses, 1)
	group.Go(func() {
		_ = Serve(ctx, endpointsPerEntry, func(a *Addresses) error {
			addresses <- a
			return nil
		})
	})
	report, err := Measure(ctx, &CostOptions{
		Instances: []int{2}, Entries: []int{1}, Rate: 5, Changes: 2, Settle: time.Second, Window: time.Second, Seed: 1,
		Site: <-addresses, Logger: slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	is.NoErr(err)
	is.Equal(len(report.ByInstances), 1)
	total := make(map[string]float64)
	for _, w := range report.ByInstances[0].Windows {
		is.True(w.Processor > 0)
		for kind, bytes := range w.Bytes {
			total[kind] += bytes
		}
	}
	for _, kind := range []string{"member.heartbeat", "share.ask", "catalogue.push", "roster.read", "log.read", "endpoint.load", "endpoint.cache", kindFrames} {
		if total[kind] <= 0 {
			t.Errorf("%s: no bytes", kind)
		}
	}
}

func TestCostOptions(t *testing.T) {
	is := is.New(t)
	err := (&CostOptions{Instances: []int{1}, Entries: []int{1}, Site: &Addresses{}, Rate: -1}).Check()
	for _, name := range []string{"sizes", "entries", "rate", "window"} {
		is.True(strings.Contains(err.Error(), name))
	}
}
