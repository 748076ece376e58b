package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"

	"dogwooddyke/experiment/load"
)

// errWrong reports answers that failed their checks.
var errWrong = errors.New("answers were wrong")

// loadCommand sends traffic to instances.
type loadCommand struct {
	Target    string  `long:"target" value-name:"URL,..." description:"instances to send to"`
	Addresses string  `long:"addresses" value-name:"FILE" description:"take instances and keys from the file that dykectl demo --hold wrote"`
	Keys      string  `long:"keys" value-name:"FILE" description:"JSON object of workspaces and their keys (default: the demo's)"`
	Profile   string  `long:"profile" value-name:"islaget|gyeongsan|FILE" default:"islaget" description:"traffic to send"`
	Rate      float64 `long:"rate" value-name:"N" default:"20" description:"mean arrivals, requests/s"`
	Seconds   float64 `long:"seconds" value-name:"N" default:"10" description:"length of the run; open requests may finish after it"`
	Seed      uint64  `long:"seed" value-name:"N" default:"1" description:"seed of arrivals, lengths and prompts"`
	Open      int     `long:"open" value-name:"N" default:"4000" description:"bound on requests in progress; arrivals over it are counted and not sent"`
	JSON      string  `long:"json" value-name:"FILE" description:"write the report as JSON"`
}

// Execute runs the command.
func (c *loadCommand) Execute(arguments []string) error {
	options, err := c.options(arguments)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	report, _, err := load.Run(ctx, options)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	if err := report.Table(os.Stdout); err != nil {
		return err
	}
	if err := writeJSON(c.JSON, report); err != nil {
		return err
	}
	if report.Text.Wrong() || report.Count(load.OutcomeMalformed) > 0 {
		return &exitError{exitFailed, errWrong}
	}
	return nil
}

func (c *loadCommand) options(arguments []string) (*load.Options, error) {
	if len(arguments) > 0 {
		return nil, fmt.Errorf("unexpected %q", arguments[0])
	}
	profile, err := load.OpenProfile(c.Profile)
	if err != nil {
		return nil, err
	}
	options := &load.Options{
		Profile: profile, Rate: c.Rate, Seconds: c.Seconds, Seed: c.Seed,
		Candidates: load.StandinCandidates, MaximumOpen: c.Open, Progress: progressWriter(),
	}
	if err := c.fleet(options); err != nil {
		return nil, err
	}
	return options, options.Check()
}

// fleet sets the targets and keys.
func (c *loadCommand) fleet(options *load.Options) error {
	if c.Addresses != "" {
		addresses, err := load.ReadAddresses(c.Addresses)
		if err != nil {
			return err
		}
		options.Targets = addresses.Instances
		options.Profile.TakeKeys(addresses.Keys)
	}
	if c.Target != "" {
		options.Targets = strings.Split(c.Target, ",")
	}
	if c.Keys == "" {
		return nil
	}
	keys, err := load.ReadKeys(c.Keys)
	options.Profile.TakeKeys(keys)
	return err
}

// progressWriter returns the terminal, or nothing where the output goes elsewhere.
func progressWriter() io.Writer {
	info, err := os.Stderr.Stat()
	if err != nil || info.Mode()&os.ModeCharDevice == 0 {
		return nil
	}
	return os.Stderr
}

// writeJSON writes a value to a file; without a name it does nothing.
func writeJSON(name string, value any) error {
	if name == "" {
		return nil
	}
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}
