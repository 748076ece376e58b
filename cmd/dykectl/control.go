package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"dogwooddyke/experiment/control"
)

// controlCommand runs the control plane's experiment in this process.
type controlCommand struct {
	Instances int           `long:"instances" value-name:"N" default:"8" description:"instances that run at any time"`
	Changes   float64       `long:"changes" value-name:"N" default:"20" description:"catalogue changes/s"`
	Seconds   float64       `long:"seconds" value-name:"N" default:"60" description:"length of the run"`
	Seed      uint64        `long:"seed" value-name:"N" default:"1" description:"seed of changes, operators and deaths"`
	Outage    time.Duration `long:"outage" value-name:"TIME" description:"let the log refuse everything for this long in the middle"`
	Retention time.Duration `long:"retention" value-name:"TIME" description:"age at which the log drops records; 0: never"`
	JSON      string        `long:"json" value-name:"FILE" description:"write the report as JSON"`
	Out       string        `long:"out" value-name:"FILE" description:"write the report as a page"`
	Verbose   bool          `long:"verbose" description:"show the instances' logs"`
}

// Execute runs the command.
func (c *controlCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	level := slog.LevelError
	if c.Verbose {
		level = slog.LevelInfo
	}
	options := &control.Options{
		Instances: c.Instances, Changes: c.Changes, Seconds: c.Seconds, Seed: c.Seed, Outage: c.Outage, Retention: c.Retention,
		Limit: control.ForceLimit, Progress: progressWriter(), Logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: level})),
	}
	if err := options.Check(); err != nil {
		return &exitError{exitBadInput, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	report, err := control.Run(ctx, options)
	if err != nil {
		return err
	}
	return conclude(report, c.JSON, func() error { return c.page(report) })
}

func (c *controlCommand) page(report *control.Report) error {
	if c.Out == "" {
		return nil
	}
	page, err := os.Create(c.Out)
	if err != nil {
		return err
	}
	defer page.Close()
	return report.Page(page, "dykectl "+strings.Join(os.Args[1:], " "))
}
