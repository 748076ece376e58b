package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"dogwooddyke/experiment/demo"
	"dogwooddyke/experiment/load"
)

// errChecks reports a run in which something that must hold did not.
var errChecks = errors.New("checks failed")

// Rates and lengths of the runs.
const (
	demoRate    = 25.0 // requests/s of each deployment
	demoSeconds = 15.0
	faultRate   = 60.0 // requests/s
	faultTime   = 60.0 // seconds
)

// demoCommand runs stand-ins and instances in this process.
type demoCommand struct {
	Hold      bool    `long:"hold" description:"send no traffic and keep running until interrupted"`
	Addresses string  `long:"addresses" value-name:"FILE" description:"with --hold: write where everything listens, and the keys, as JSON, once all is ready"`
	Faults    bool    `long:"faults" description:"one deployment as it is today (7 instances, 9 and 4 engines) for 60 s, with faults of every kind, beside a naive proxy"`
	OneEngine bool    `long:"oneEngine" description:"with --faults: only one engine dies, and no proxy"`
	Seed      uint64  `long:"seed" value-name:"N" default:"1" description:"seed of the traffic"`
	Rate      float64 `long:"rate" value-name:"N" description:"requests/s of each deployment (default: 25, with --faults 60)"`
	Seconds   float64 `long:"seconds" value-name:"N" description:"length of the traffic (default: 15, with --faults 60)"`
	JSON      string  `long:"json" value-name:"FILE" description:"write the report as JSON"`
	Out       string  `long:"out" value-name:"DIR" description:"with --faults: write the report to DIR/faults.md and DIR/faults.json, or with --oneEngine to files of that name"`
	Verbose   bool    `long:"verbose" description:"show the instances' logs"`
}

// Execute runs the command.
func (c *demoCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	options := c.options()
	if err := options.Check(); err != nil {
		return &exitError{exitBadInput, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Hold {
		return demo.Hold(ctx, options, c.held)
	}
	return c.run(ctx, options)
}

func (c *demoCommand) options() *demo.Options {
	o := &demo.Options{
		Layout: demo.Small(), Profiles: []string{"islaget", "gyeongsan"}, Rate: demoRate, Seconds: demoSeconds,
		Seed: c.Seed, Script: demo.SmallScript(), Progress: progressWriter(), Logger: c.logger(),
	}
	if c.Faults {
		o.Layout, o.Profiles, o.Script, o.Baseline = demo.Today(), []string{"islaget"}, demo.FaultScript(), true
		o.Rate, o.Seconds = faultRate, faultTime
	}
	if c.Faults && c.OneEngine {
		o.Script, o.Baseline = demo.OneEngineScript(), false
	}
	if c.Rate != 0 {
		o.Rate = c.Rate
	}
	if c.Seconds != 0 {
		o.Seconds = c.Seconds
	}
	return o
}

func (c *demoCommand) logger() *slog.Logger {
	level := slog.LevelError
	if c.Verbose {
		level = slog.LevelInfo
	}
	return slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level}))
}

// held tells the user where the fleet listens.
func (c *demoCommand) held(a *load.Addresses) error {
	for i, url := range a.Instances {
		fmt.Printf("instance %d  callers %s  operators %s\n", i, url, a.Operators[i])
	}
	fmt.Printf("log %s\nready; interrupt to stop\n", a.Log)
	if c.Addresses == "" {
		return nil
	}
	return a.Write(c.Addresses)
}

func (c *demoCommand) run(ctx context.Context, options *demo.Options) error {
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	return conclude(report, c.JSON, func() error { return c.publish(report) })
}

// publish writes the report where results are kept.
func (c *demoCommand) publish(report *demo.Report) error {
	name := "faults"
	if c.OneEngine {
		name = "oneEngine"
	}
	return writeResults(c.Out, name, report, func(page io.Writer) error {
		return report.Page(page, "dykectl demo "+strings.Join(os.Args[2:], " "))
	})
}
