package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"dogwooddyke/experiment/soak"
)

// soakCommand breaks instances that run as processes, and checks that the promises hold.
type soakCommand struct {
	Binary               string  `long:"binary" value-name:"FILE" description:"dogwooddyke's; beside this program if left out"`
	Seed                 uint64  `long:"seed" value-name:"N" default:"1" description:"of faults and requests"`
	Runs                 int     `long:"runs" value-name:"N" default:"1" description:"runs, each with the next seed"`
	Seconds              float64 `long:"seconds" value-name:"N" default:"15" description:"of traffic in a run"`
	Instances            int     `long:"instances" value-name:"N" default:"5" description:"instances, each a process"`
	Engines              int     `long:"engines" value-name:"N" default:"6" description:"stand-in engines"`
	Callers              int     `long:"callers" value-name:"N" default:"24" description:"callers that send one request after the other"`
	WithoutCrashingParts bool    `long:"withoutCrashingParts" description:"has no engine crash on a part of prompts, as for seeds of older runs"`
	WithoutRepeated      bool    `long:"withoutRepeated" description:"has no service crash under a request that is repeated, as for seeds of older runs"`
	WithoutEvacuations   bool    `long:"withoutEvacuations" description:"evacuates no data centre, as for seeds of older runs"`
	WithoutStatements    bool    `long:"withoutStatements" description:"has no engine say of itself that it rests or leaves, as for seeds of older runs"`
	WithoutSpoilt        bool    `long:"withoutSpoilt" description:"has no engine send other bytes in place of answers, as for seeds of older runs"`
	WithoutVersions      bool    `long:"withoutVersions" description:"has engines of one version only and callers that do not leave streams, as for seeds of older runs"`
	WithoutLimits        bool    `long:"withoutLimits" description:"has no engine name a limit on the rate of requests, as for seeds of older runs"`
	WithoutRestores      bool    `long:"withoutRestores" description:"never restores the log from an older copy, as for seeds of older runs"`
	Planned              bool    `long:"planned" description:"has planned work only: instances stopped in turn, engines that leave after a notice, SIGHUP, new catalogues; with streams longer than the grace period and callers that don't wait for each other, and judged by which requests are lost"`
	Stops                float64 `long:"stopSeconds" value-name:"N" default:"19" description:"between the stops of two instances, with --planned"`
	Grace                float64 `long:"graceSeconds" value-name:"N" default:"8" description:"from SIGTERM until SIGKILL, with --planned"`
	Reclaims             float64 `long:"reclaimSeconds" value-name:"N" default:"6" description:"between two notices of engines on average, with --planned"`
	Together             int     `long:"reclaimedTogether" value-name:"N" default:"1" description:"engines that leave at once, with --planned"`
	Factor               float64 `long:"loadFactor" value-name:"X" default:"1" description:"of the times that engines and slow callers take, with --planned"`
	WithoutStops         bool    `long:"withoutStops" description:"stops no instance, with --planned"`
	WithoutReclaims      bool    `long:"withoutReclaims" description:"has no engine leave, with --planned"`
	WithoutReloads       bool    `long:"withoutReloads" description:"sends no SIGHUP but before stops, with --planned"`
	WithoutCatalogues    bool    `long:"withoutCatalogues" description:"keeps one catalogue, with --planned"`
	Keep                 string  `long:"keep" value-name:"DIRECTORY" description:"where settings and logs of failed runs are kept"`
}

// errBroken reports that a promise did not hold.
var errBroken = errors.New("a promise was broken")

// Execute runs the command.
func (c *soakCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	if c.Binary == "" {
		own, err := os.Executable()
		if err != nil {
			return err
		}
		c.Binary = filepath.Join(filepath.Dir(own), "dogwooddyke")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	broken := 0
	for n := range uint64(max(c.Runs, 1)) {
		held, err := c.once(ctx, c.Seed+n)
		if err != nil {
			return err
		}
		if !held {
			broken++
		}
	}
	fmt.Printf("%d runs, %d broken\n", max(c.Runs, 1), broken)
	if broken > 0 {
		return errBroken
	}
	return nil
}

// once plays one seed and tells whether all promises held.
func (c *soakCommand) once(ctx context.Context, seed uint64) (bool, error) {
	directory, err := os.MkdirTemp(c.Keep, fmt.Sprint("soak-", seed, "-"))
	if err != nil {
		return false, err
	}
	options := &soak.Options{
		Binary: c.Binary, Directory: directory, Seed: seed, Seconds: c.Seconds, Instances: c.Instances, Engines: c.Engines, Callers: c.Callers,
		Without: soak.Without{Limits: c.WithoutLimits, Restores: c.WithoutRestores, CrashingParts: c.WithoutCrashingParts, RepeatedRequests: c.WithoutRepeated, Evacuations: c.WithoutEvacuations, Statements: c.WithoutStatements, SpoiltAnswers: c.WithoutSpoilt, Versions: c.WithoutVersions, Stops: c.WithoutStops, Reclaims: c.WithoutReclaims, Reloads: c.WithoutReloads, Catalogues: c.WithoutCatalogues},
	}
	if c.Planned {
		seconds := func(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
		options.Planned = &soak.Planned{Stops: seconds(c.Stops), Grace: seconds(c.Grace), Reclaims: seconds(c.Reclaims), Together: c.Together, Factor: c.Factor}
	}
	if err := options.Check(); err != nil {
		return false, &exitError{exitBadInput, errors.Join(err, os.RemoveAll(directory))}
	}
	report, err := soak.Run(ctx, options)
	if err != nil {
		return false, fmt.Errorf("seed %d, files in %s: %w", seed, directory, err)
	}
	if err := report.Print(os.Stdout); err != nil {
		return false, err
	}
	if len(report.Broken) > 0 {
		fmt.Println("  files in", directory)
		return false, nil
	}
	return true, os.RemoveAll(directory)
}
