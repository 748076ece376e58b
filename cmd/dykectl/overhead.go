package main

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"dogwooddyke/experiment/demo"
	"dogwooddyke/experiment/load"
)

// overheadCommand measures what one instance adds.
type overheadCommand struct {
	Rate    float64 `long:"rate" value-name:"N" default:"200" description:"requests/s by each of the three ways"`
	Seconds float64 `long:"seconds" value-name:"N" default:"20" description:"length of the run"`
	Streams int     `long:"streams" value-name:"N" default:"2000" description:"open streams of the memory run; 0: none"`
	Seed    uint64  `long:"seed" value-name:"N" default:"1" description:"seed of the traffic"`
	Out     string  `long:"out" value-name:"DIR" description:"write DIR/overhead.md and DIR/overhead.json"`
}

// overheadReport is what came of the command.
type overheadReport struct {
	Command  string         `json:"command"`
	Started  time.Time      `json:"started"`
	CPUs     int            `json:"processors"`
	Overhead *demo.Overhead `json:"overhead"`
	Memory   *demo.Memory   `json:"memory,omitempty"`
}

// Execute runs the command.
func (c *overheadCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	logger := slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError}))
	r := &overheadReport{Command: "dykectl " + strings.Join(os.Args[1:], " "), Started: time.Now().UTC(), CPUs: runtime.NumCPU()}
	var err error
	r.Overhead, err = demo.MeasureOverhead(ctx, &demo.OverheadOptions{Rate: c.Rate, Seconds: c.Seconds, Seed: c.Seed, Logger: logger})
	if err != nil {
		return err
	}
	if c.Streams > 0 {
		if r.Memory, err = demo.MeasureMemory(ctx, c.Streams, c.Seed, logger); err != nil {
			return err
		}
	}
	if err := r.table(os.Stdout); err != nil {
		return err
	}
	return c.publish(r)
}

// publish writes the report where results are kept.
func (c *overheadCommand) publish(r *overheadReport) error {
	return writeResults(c.Out, "overhead", r, func(page io.Writer) error {
		fmt.Fprintf(page, "# %s\n\nSeed %d, %s, %d processors.\n\n```\n", r.Command, c.Seed, r.Started.Format(time.RFC3339), r.CPUs)
		if err := r.table(page); err != nil {
			return err
		}
		_, err := fmt.Fprintln(page, "```")
		return err
	})
}

func (r *overheadReport) table(w io.Writer) error {
	fmt.Fprintf(w, "time to the first token, %g requests/s by each way at once, milliseconds\n\n", r.Overhead.Instance.Rate)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "way\tanswers\twhole\tp50\tp95\tp99\tmost\t")
	for _, way := range []struct {
		name   string
		report *load.Report
	}{{"engine direct", r.Overhead.Direct}, {"naive proxy", r.Overhead.Proxy}, {"instance", r.Overhead.Instance}} {
		s := way.report.Mixes[0].FirstToken
		fmt.Fprintf(t, "%s\t%d\t%d\t%s\t%s\t%s\t%s\t\n", way.name, way.report.Sent, way.report.Count(load.OutcomeFinished),
			milliseconds(s.P50), milliseconds(s.P95), milliseconds(s.P99), milliseconds(s.Most))
	}
	if err := t.Flush(); err != nil {
		return err
	}
	fmt.Fprintf(w, "\nadded by the instance: p50 %s, p95 %s, p99 %s\n",
		milliseconds(r.Overhead.Added(func(s load.Spread) time.Duration { return s.P50 })),
		milliseconds(r.Overhead.Added(func(s load.Spread) time.Duration { return s.P95 })),
		milliseconds(r.Overhead.Added(func(s load.Spread) time.Duration { return s.P99 })))
	if r.Memory == nil {
		return nil
	}
	m := r.Memory
	fmt.Fprintf(w, "\nlive memory (heap and stacks of the whole process), megabytes\n")
	fmt.Fprintf(w, "idle %s, with %d streams to engines direct %s; idle again %s, with %d streams through the instance %s\n",
		megabytes(int64(m.Idle)), m.DirectOpen, megabytes(int64(m.Direct)), megabytes(int64(m.IdleAgain)), m.InstanceOpen, megabytes(int64(m.Instance)))
	_, err := fmt.Fprintf(w, "added by the instance: %s\n", megabytes(m.Added()))
	return err
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f", float64(d)/float64(time.Millisecond))
}

func megabytes(bytes int64) string {
	return fmt.Sprintf("%.1f", float64(bytes)/1e6)
}
