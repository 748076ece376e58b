package soak

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// Options says what one run does.
type Options struct {
	Binary    string // of dogwooddyke
	Directory string // for settings and logs
	Seed      uint64
	Seconds   float64 // of traffic
	Instances int
	Engines   int
	Callers   int

	Without Without
	Planned *Planned // nil: faults of all kinds
}

// steps draws what happens.
func (o *Options) steps(span time.Duration) []step {
	if o.Planned != nil {
		return planned(o.Seed, span, o.Planned, &o.Without)
	}
	return plan(o.Seed, span, &o.Without)
}

// patience returns the time limit of the catalogue's routes.
func (o *Options) patience() time.Duration {
	if o.Planned != nil {
		return longPatience
	}
	return routeTimeout
}

// grace returns the time from SIGTERM until SIGKILL.
func (o *Options) grace() time.Duration {
	if o.Planned != nil {
		return o.Planned.Grace
	}
	return grace
}

// Without names faults that are left out, as for seeds of runs that did not have them.
type Without struct {
	Limits        bool // engines name no limits on the rate of requests
	Restores      bool // the log is not restored from older copies
	CrashingParts bool // engines do not crash on a part of prompts

	RepeatedRequests bool // services do not crash under a request that callers repeat
	Evacuations      bool // no data centre is evacuated
	Statements       bool // engines do not say of themselves that they rest or leave
	SpoiltAnswers    bool // engines do not send other bytes in place of answers
	Versions         bool // engines are of one version, and callers do not leave streams that they may take up

	// Only for runs with planned work only.
	Stops      bool // no instance is stopped
	Reclaims   bool // no engine leaves
	Reloads    bool // no instance gets SIGHUP
	Catalogues bool // the catalogue does not change
}

// Check lists what is wrong with the options.
func (o *Options) Check() error {
	var faults []error
	if _, err := os.Stat(o.Binary); err != nil {
		faults = append(faults, fmt.Errorf("--binary: %w", err))
	}
	if least := (quietLead + quietTail + time.Second).Seconds(); o.Seconds < least {
		faults = append(faults, fmt.Errorf("--seconds: %g is less than %g", o.Seconds, least))
	}
	if o.Instances < 1 || o.Instances > mostInstances {
		faults = append(faults, fmt.Errorf("--instances: %d is not within 1 to %d", o.Instances, mostInstances))
	}
	if o.Engines < 2 {
		faults = append(faults, fmt.Errorf("--engines: %d is less than 2", o.Engines))
	}
	if o.Callers < 1 {
		faults = append(faults, fmt.Errorf("--callers: %d is less than 1", o.Callers))
	}
	if p := o.Planned; p != nil && (p.Stops < leastPlanned || p.Grace < leastPlanned || p.Reclaims < leastPlanned || p.Together < 1 || p.Factor <= 0) {
		faults = append(faults, fmt.Errorf("--planned: times must be at least %s and numbers positive", leastPlanned))
	}
	return errors.Join(faults...)
}
