package capacity

import (
	"cmp"
	"context"
	"fmt"
)

// repetitions is how often each probe goes through its sizes.
const repetitions = 5

// Probe measures one cost at several sizes.
type Probe struct {
	Name   string
	Item   string
	Unit   string
	Source string // package that is driven
	Sizes  []int
	// Repetitions is how often the sizes are gone through; zero: the default.
	Repetitions int
	// Cost measures once; the seed differs from repetition to repetition.
	Cost func(ctx context.Context, size int, seed uint64) (float64, error)
}

// Measure goes through the sizes, smallest first, several times over.
func (p *Probe) Measure(ctx context.Context, seed uint64) (*Slope, error) {
	s := &Slope{Name: p.Name, Item: p.Item, Unit: p.Unit, Source: p.Source, Sizes: p.Sizes, Repetitions: cmp.Or(p.Repetitions, repetitions)}
	var slopes, bases []float64
	for i := range s.Repetitions {
		samples, err := p.pass(ctx, seed+uint64(i))
		if err != nil {
			return nil, fmt.Errorf("%s: %w", p.Name, err)
		}
		perItem, base := fit(samples)
		slopes = append(slopes, perItem)
		bases = append(bases, base)
		s.Samples = append(s.Samples, samples...)
	}
	s.PerItem, s.Base = median(slopes), median(bases)
	s.Least, s.Most = extremes(slopes)
	return s, nil
}

func (p *Probe) pass(ctx context.Context, seed uint64) ([]Sample, error) {
	samples := make([]Sample, 0, len(p.Sizes))
	for _, size := range p.Sizes {
		if err := ctx.Err(); err != nil {
			return nil, err
		}
		cost, err := p.Cost(ctx, size, seed)
		if err != nil {
			return nil, fmt.Errorf("size %d: %w", size, err)
		}
		samples = append(samples, Sample{size, cost})
	}
	return samples, nil
}

func extremes(values []float64) (least, most float64) {
	least, most = values[0], values[0]
	for _, v := range values {
		least, most = min(least, v), max(most, v)
	}
	return least, most
}
