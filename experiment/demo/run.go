package demo

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/experiment/load"
)

// Run carries out a whole run and reports it; an error means that it could not be carried out.
func Run(ctx context.Context, o *Options) (*Report, error) {
	if err := o.Check(); err != nil {
		return nil, err
	}
	f, err := startFleet(ctx, o)
	if err != nil {
		return nil, err
	}
	r := &runner{options: o, fleet: f}
	report, err := r.run(ctx)
	return report, errors.Join(err, r.close())
}

func (r *runner) run(ctx context.Context) (*Report, error) {
	if r.options.Baseline {
		b, err := startBaseline(&r.options.Layout)
		if err != nil {
			return nil, err
		}
		r.baseline = b
	}
	report := &Report{Seed: r.options.Seed, Started: time.Now().UTC()}
	var err error
	report.Traffic, report.Baseline, err = r.traffic(ctx)
	if err != nil {
		return nil, err
	}
	report.Events = r.events
	report.Audit = audit(r.fleet.endpoints, report.Traffic)
	if r.baseline != nil {
		a := audit(r.baseline.endpoints, report.Baseline)
		report.BaselineAudit = &a
	}
	report.Checks = r.checks(report.Traffic, report.Audit)
	return report, nil
}

func (r *runner) close() error {
	err := r.fleet.close()
	if r.baseline != nil {
		err = errors.Join(err, r.baseline.close())
	}
	return err
}

// Hold keeps a fleet running until the context ends; it calls ready with the addresses once all of it is up.
func Hold(ctx context.Context, o *Options, ready func(*load.Addresses) error) error {
	if err := o.Check(); err != nil {
		return err
	}
	f, err := startFleet(ctx, o)
	if err != nil {
		return err
	}
	if err := ready(f.addresses()); err != nil {
		return errors.Join(err, f.close())
	}
	<-ctx.Done()
	return f.close()
}
