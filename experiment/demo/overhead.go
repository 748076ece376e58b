package demo

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/experiment/load"
	"dogwooddyke/standin/model"
)

// Shape of the engines and requests of an overhead run: fast engines, so that little hides what an instance adds.
const (
	overheadEngines  = 8
	overheadStep     = time.Millisecond
	overheadTokens   = 20
	overheadPrompt   = 600 // bytes
	overheadCapacity = 4_000_000
	overheadSlots    = 1000
)

// Overhead is the time to the first token by three ways at once, each to engines of its own.
type Overhead struct {
	Seed     uint64       `json:"seed"`
	Direct   *load.Report `json:"direct"`
	Proxy    *load.Report `json:"proxy"`
	Instance *load.Report `json:"instance"`
}

// OverheadOptions say how an overhead run is made.
type OverheadOptions struct {
	Rate    float64 // requests/s by each way
	Seconds float64
	Seed    uint64
	Logger  *slog.Logger
}

// Added returns what an instance adds to a percentile of the time to the first token.
func (o *Overhead) Added(percentile func(load.Spread) time.Duration) time.Duration {
	return percentile(o.Instance.Mixes[0].FirstToken) - percentile(o.Direct.Mixes[0].FirstToken)
}

// MeasureOverhead sends the same requests to engines direct, through a naive proxy and through an instance.
func MeasureOverhead(ctx context.Context, o *OverheadOptions) (result *Overhead, err error) {
	s, err := startStage(ctx, overheadLayout(overheadStep, overheadEngines), o.Logger)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, s.close()) }()
	result = &Overhead{Seed: o.Seed}
	var faults [3]error
	var runs conc.WaitGroup
	for i, way := range []struct {
		targets []string
		report  **load.Report
	}{
		{s.direct.urls(), &result.Direct},
		{[]string{s.baseline.url}, &result.Proxy},
		{s.fleet.addresses().Instances, &result.Instance},
	} {
		runs.Go(func() {
			*way.report, _, faults[i] = load.Run(ctx, &load.Options{
				Targets: way.targets, Profile: overheadProfile(overheadTokens), Rate: o.Rate, Seconds: o.Seconds, Seed: o.Seed,
				Candidates: load.StandinCandidates, MaximumOpen: maximumOpen,
			})
		})
	}
	runs.Wait()
	return result, errors.Join(faults[:]...)
}

// stage is an instance, a naive proxy and bare engines, each way with engines of its own.
type stage struct {
	fleet    *fleet
	baseline *baseline
	direct   *endpoints
}

func startStage(ctx context.Context, l Layout, logger *slog.Logger) (*stage, error) {
	s := &stage{}
	var err error
	if s.fleet, err = startFleet(ctx, &Options{Layout: l, profiles: []*load.Profile{overheadProfile(1)}, Logger: logger}); err != nil {
		return nil, err
	}
	if s.baseline, err = startBaseline(&l); err != nil {
		return nil, errors.Join(err, s.close())
	}
	if s.direct, err = startEndpoints(&l); err != nil {
		return nil, errors.Join(err, s.close())
	}
	return s, nil
}

func (s *stage) close() error {
	err := s.fleet.close()
	if s.baseline != nil {
		err = errors.Join(err, s.baseline.close())
	}
	if s.direct != nil {
		err = errors.Join(err, s.direct.close())
	}
	return err
}

// urls returns the base URLs of all endpoints.
func (b *endpoints) urls() []string {
	var all []string
	for _, g := range b.groups {
		for _, a := range g.addresses {
			all = append(all, "http://"+a.String())
		}
	}
	return all
}

func overheadLayout(step time.Duration, count int) Layout {
	s := engines("model", "overhead", "overhead", count, true)
	s.Sizes = &model.Config{
		StepTime: step, Slots: overheadSlots, Knee: overheadSlots, Capacity: overheadCapacity,
		PrefillSpeed: 1e9, LoadLag: loadLag,
	}
	return Layout{Instances: 1, Services: []Service{s}}
}

// overheadProfile has one kind of request, of equal lengths, and arrivals without bursts.
func overheadProfile(tokens int) *load.Profile {
	return &load.Profile{
		Name:       "overhead",
		Shape:      load.Shape{BurstFactor: 1, BurstLength: time.Second, CalmLength: time.Second},
		StallBound: time.Second,
		Workspaces: []load.Workspace{{Name: "overhead", Key: "demo-overhead", Share: 1}},
		Mixes: []load.Mix{{
			Name: "stream", Kind: load.KindStream, Entry: "model", Share: 1, PromptBytes: overheadPrompt,
			Tokens: load.Tokens{Median: float64(tokens), Maximum: tokens},
		}},
	}
}
