package demo

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/internal/wait"
)

// Work is traffic of equal requests.
type Work struct {
	Rate    float64 // requests/s
	Seconds float64
	Tokens  int // of each answer
	Seed    uint64
}

// MeasureWork returns the processor time in microseconds that an instance spends on the traffic: what the whole process
// spends with the instance in the way, less what it spends without.
func MeasureWork(ctx context.Context, w *Work) (microseconds float64, err error) {
	s, err := startStage(ctx, overheadLayout(overheadStep, overheadEngines), slog.New(slog.DiscardHandler))
	if err != nil {
		return 0, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	_ = wait.For(ctx, workSettle)
	direct, err := w.cost(ctx, s.direct.urls())
	if err != nil {
		return 0, err
	}
	through, err := w.cost(ctx, s.fleet.addresses().Instances)
	if err != nil {
		return 0, err
	}
	return float64((through - direct).Microseconds()), nil
}

func (w *Work) cost(ctx context.Context, targets []string) (time.Duration, error) {
	before := ProcessorTime()
	report, _, err := load.Run(ctx, &load.Options{
		Targets: targets, Profile: overheadProfile(w.Tokens), Rate: w.Rate, Seconds: w.Seconds, Seed: w.Seed,
		Candidates: load.StandinCandidates, MaximumOpen: maximumOpen,
	})
	if err != nil {
		return 0, err
	}
	if report.Count(load.OutcomeFinished) < report.Sent {
		return 0, errUnfinished
	}
	return ProcessorTime() - before, nil
}

// errUnfinished reports a measurement that some requests did not finish in.
var errUnfinished = errors.New("not all requests finished")
