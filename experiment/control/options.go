package control

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"time"
)

// Options say what a run does.
type Options struct {
	Instances int
	Changes   float64 // changes/s
	Seconds   float64
	Seed      uint64
	Outage    time.Duration // of the log, in the middle; zero: none
	Retention time.Duration // of the log's records; zero: for good
	Limit     time.Duration // from a change's acceptance until in force everywhere
	Progress  io.Writer
	Logger    *slog.Logger
}

// Check returns every fault of the options.
func (o *Options) Check() error {
	var faults []error
	if o.Instances < 2 || o.Instances > maximumInstances {
		faults = append(faults, fmt.Errorf("instances: not between 2 and %d", maximumInstances))
	}
	if !(o.Changes > 0 && o.Changes <= maximumChanges) {
		faults = append(faults, fmt.Errorf("changes: not above 0 and at most %d", maximumChanges))
	}
	if !(o.Seconds >= 1 && o.Seconds <= maximumSeconds) {
		faults = append(faults, fmt.Errorf("seconds: not between 1 and %d", maximumSeconds))
	}
	if o.Outage < 0 || o.Outage > maximumOutage {
		faults = append(faults, fmt.Errorf("outage: not between 0 and %s", maximumOutage))
	}
	if o.Limit <= 0 {
		faults = append(faults, errors.New("limit: not above 0"))
	}
	if o.Retention < 0 {
		faults = append(faults, errors.New("retention: below 0"))
	}
	return errors.Join(faults...)
}

func (o *Options) span() time.Duration {
	return time.Duration(o.Seconds * float64(time.Second))
}
