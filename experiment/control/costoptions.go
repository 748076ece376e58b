package control

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"
)

// CostOptions say at which sizes the cost of control is measured.
type CostOptions struct {
	Instances []int         // sizes of the fleet, with the first number of entries
	Entries   []int         // numbers of entries, with the first size of the fleet
	Rate      float64       // requests/s of callers to each instance
	Changes   float64       // catalogue changes/s
	Settle    time.Duration // until members and stewards have been taken in everywhere
	Window    time.Duration
	Seed      uint64
	Site      *Addresses // of stand-ins in another process
	Progress  io.Writer
	Logger    *slog.Logger
}

// Check returns every fault of the options.
func (o *CostOptions) Check() error {
	var faults []error
	if len(o.Instances) == 0 || len(o.Entries) == 0 {
		faults = append(faults, errors.New("sizes, entries: none given"))
	}
	for _, n := range o.Instances {
		if n < 2 || n > maximumInstances {
			faults = append(faults, fmt.Errorf("sizes: %d is not between 2 and %d", n, maximumInstances))
		}
	}
	if o.Site == nil {
		return errors.Join(append(faults, errors.New("site: no stand-ins of another process"))...)
	}
	for _, n := range o.Entries {
		if n < 1 || n*endpointsPerEntry > len(o.Site.Engines) {
			faults = append(faults, fmt.Errorf("entries: %d need not 1 to %d engines", n, len(o.Site.Engines)))
		}
	}
	if o.Rate < 0 || o.Rate > maximumRate || o.Changes < 0 || o.Changes > maximumChanges {
		faults = append(faults, fmt.Errorf("rate, changes: not between 0 and %d and %d", maximumRate, maximumChanges))
	}
	if o.Settle < 0 || o.Settle > time.Minute {
		faults = append(faults, errors.New("settle: not between 0 s and 1 min"))
	}
	if o.Window < time.Second || o.Window > time.Minute {
		faults = append(faults, errors.New("window: not between 1 s and 1 min"))
	}
	return errors.Join(faults...)
}
