package demo

import (
	"errors"
	"fmt"
	"io"
	"log/slog"

	"dogwooddyke/experiment/load"
)

// Bounds of a demo.
const (
	maximumInstances = 16
	maximumRate      = 1000 // requests/s of each deployment
	maximumSeconds   = 600
)

// Options say what a demo runs.
type Options struct {
	Layout   Layout
	Profiles []string // names of built-in profiles; all run at once
	Rate     float64  // requests/s of each profile
	Seconds  float64
	Seed     uint64
	Script   []Step
	Baseline bool // runs a naive proxy before engines of its own, with the same faults
	Progress io.Writer
	Logger   *slog.Logger

	profiles []*load.Profile // beside those named
}

// Check returns every fault of the options.
func (o *Options) Check() error {
	var faults []error
	if o.Layout.Instances < 1 || o.Layout.Instances > maximumInstances {
		faults = append(faults, fmt.Errorf("instances: not between 1 and %d", maximumInstances))
	}
	if !(o.Rate > 0 && o.Rate <= maximumRate) {
		faults = append(faults, fmt.Errorf("rate: not above 0 and at most %d", maximumRate))
	}
	if !(o.Seconds >= 1 && o.Seconds <= maximumSeconds) {
		faults = append(faults, fmt.Errorf("seconds: not between 1 and %d", maximumSeconds))
	}
	return errors.Join(faults...)
}
