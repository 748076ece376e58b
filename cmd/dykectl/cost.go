package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"runtime/pprof"
	"strconv"
	"strings"
	"syscall"
	"time"

	"dogwooddyke/experiment/control"
)

// costCommand measures what control costs each instance.
type costCommand struct {
	Serve   string        `long:"serve" value-name:"FILE" description:"only run the stand-ins until interrupted, and write where they listen"`
	Engines int           `long:"engines" value-name:"N" default:"64" description:"with --serve: engines"`
	Site    string        `long:"site" value-name:"FILE" description:"where the stand-ins of another process listen, as --serve wrote it"`
	Sizes   string        `long:"sizes" value-name:"N,..." default:"8,16,32,64" description:"numbers of instances, with the first number of entries"`
	Entries string        `long:"entries" value-name:"N,..." default:"1,2,3,4" description:"numbers of entries of 16 endpoints each, with the first number of instances"`
	Rate    float64       `long:"rate" value-name:"N" description:"requests/s of callers to each instance"`
	Changes float64       `long:"changes" value-name:"N" default:"0.07" description:"catalogue changes/s"`
	Settle  time.Duration `long:"settle" value-name:"TIME" default:"20s" description:"before the first measurement, until members and stewards have been taken in everywhere"`
	Window  time.Duration `long:"window" value-name:"TIME" default:"6s" description:"length of one of five measurements at each size"`
	Seed    uint64        `long:"seed" value-name:"N" default:"1" description:"seed of callers and changes"`
	Profile string        `long:"profile" value-name:"FILE" description:"write a processor profile"`
	Report  string        `long:"report" value-name:"FILE" description:"measure nothing and write the page of a report that --json wrote"`
	JSON    string        `long:"json" value-name:"FILE" description:"write the report as JSON"`
	Out     string        `long:"out" value-name:"FILE" description:"write the report as a page"`
}

// Execute runs the command.
func (c *costCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Serve != "" {
		return control.Serve(ctx, c.Engines, func(a *control.Addresses) error { return a.Write(c.Serve) })
	}
	if c.Report != "" {
		report, err := control.ReadCostReport(c.Report)
		if err != nil {
			return &exitError{exitBadInput, err}
		}
		return c.page(report)
	}
	options, err := c.options()
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	return c.measure(ctx, options)
}

func (c *costCommand) options() (*control.CostOptions, error) {
	if c.Site == "" {
		return nil, errors.New("site: start the stand-ins with --serve FILE, then give --site FILE")
	}
	site, err := control.ReadAddresses(c.Site)
	if err != nil {
		return nil, err
	}
	options := &control.CostOptions{
		Rate: c.Rate, Changes: c.Changes, Settle: c.Settle, Window: c.Window, Seed: c.Seed, Site: site, Progress: progressWriter(),
		Logger: slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})),
	}
	if options.Instances, err = numbers("sizes", c.Sizes); err != nil {
		return nil, err
	}
	if options.Entries, err = numbers("entries", c.Entries); err != nil {
		return nil, err
	}
	return options, options.Check()
}

func numbers(name, text string) ([]int, error) {
	var all []int
	for _, each := range strings.Split(text, ",") {
		n, err := strconv.Atoi(each)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		all = append(all, n)
	}
	return all, nil
}

func (c *costCommand) measure(ctx context.Context, options *control.CostOptions) error {
	if c.Profile != "" {
		file, err := os.Create(c.Profile)
		if err != nil {
			return err
		}
		defer file.Close()
		if err := pprof.StartCPUProfile(file); err != nil {
			return err
		}
		defer pprof.StopCPUProfile()
	}
	report, err := control.Measure(ctx, options)
	if err != nil {
		return err
	}
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	return c.page(report)
}

func (c *costCommand) page(report *control.CostReport) error {
	var out io.Writer = os.Stdout
	if c.Out != "" {
		page, err := os.Create(c.Out)
		if err != nil {
			return err
		}
		defer page.Close()
		out = page
	}
	return report.Page(out)
}
