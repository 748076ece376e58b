package reclaim

import (
	"cmp"
	"slices"
	"time"

	"dogwooddyke/coordination/handover"
)

// policy decides when runs are copied and when they stop.
type policy interface {
	// plan sees the scene at the notice.
	plan(s *scene)
	begins(s *scene, r *run, now time.Time) bool
	stops(s *scene, r *run, now time.Time) bool
}

// Policies names those that can be compared.
func Policies() []string { return []string{"atOnce", "spaced", "dogwooddyke", "clairvoyant"} }

func newPolicy(name string) policy {
	switch name {
	case "atOnce":
		return atOnce{}
	case "spaced":
		return spaced{}
	case "clairvoyant":
		return &clairvoyant{}
	default:
		return oneByOne{}
	}
}

// atOnce copies all runs from the notice on, and stops each after its first copy.
type atOnce struct{}

func (atOnce) plan(*scene) {}

func (atOnce) begins(*scene, *run, time.Time) bool { return true }

func (atOnce) stops(*scene, *run, time.Time) bool { return true }

// spaced begins at times that are foreseen from the memory of the runs before.
type spaced struct{}

func (spaced) plan(s *scene) { s.begin(spacedGuess) }

func (spaced) begins(_ *scene, r *run, now time.Time) bool { return !now.Before(r.begin) }

func (spaced) stops(s *scene, r *run, now time.Time) bool {
	return handover.StopRule{Noticed: s.noticed}.ShouldStop(r.asked, now)
}

// oneByOne is what instances do.
type oneByOne struct{ spaced }

func (oneByOne) plan(s *scene) { s.begin(farDistance) }

func (oneByOne) begins(s *scene, r *run, now time.Time) bool {
	_, before := s.own(r, now)
	all := before == 0 && handover.TokensBefore(address(r.instance), s.parties(r, now), engine) == 0
	return all || !now.Before(r.begin)
}

// clairvoyant copies one run after the other without a gap, those with the least memory first, and near where it can.
type clairvoyant struct{ order []*run }

func (c *clairvoyant) plan(s *scene) {
	c.order = slices.Clone(s.runs)
	slices.SortFunc(c.order, func(a, b *run) int { return cmp.Compare(a.memory, b.memory) })
	for _, r := range s.runs {
		r.far = !s.near
	}
}

func (c *clairvoyant) begins(_ *scene, r *run, _ time.Time) bool {
	at := slices.Index(c.order, r)
	return at == 0 || !c.order[at-1].left.IsZero()
}

func (*clairvoyant) stops(*scene, *run, time.Time) bool { return true }

// engine names the start that is reclaimed.
const engine = "e"

// begin plans each run's turn as its instance does, with copies that are foreseen to take so many times longer than near ones.
func (s *scene) begin(distance float64) {
	link := handover.Link{TokenBytes: tokenBytes, BitsPerSecond: linkBits, Slowdown: distance}
	for _, r := range s.runs {
		own, before := s.own(r, s.noticed)
		plan := handover.Schedule(address(r.instance), own, before, s.parties(r, s.noticed), engine, link, s.noticed, s.noticed.Add(handover.LatestStop))
		r.begin = plan.Begin
		if plan.LocalOnly && distance >= farDistance {
			r.far = !s.near
		}
	}
}

// own gives the tokens that the runs of a run's instance hold, and those of them that go before it.
func (s *scene) own(r *run, now time.Time) (all, before int) {
	var runs []handover.Run
	for _, o := range s.runs {
		if o.instance == r.instance && o.there(now) {
			runs = append(runs, handover.Run{ID: o.id, Memory: o.memory})
		}
	}
	handover.SortRuns(runs)
	found := false
	for _, o := range runs {
		found = found || o.ID == r.id
		if !found {
			before += o.Memory
		}
		all += o.Memory
	}
	return all, before
}

// parties gives what the instance of a run knows of the others.
func (s *scene) parties(r *run, now time.Time) []handover.Participant {
	held := make(map[int]int)
	for _, o := range s.runs {
		if o.instance != r.instance && o.there(now.Add(-newsDelay)) {
			held[o.instance] += o.memory
		}
	}
	var parties []handover.Participant
	for n, memory := range held {
		parties = append(parties, handover.Participant{Instance: address(n), Memory: memory})
	}
	return parties
}

func (r *run) there(now time.Time) bool { return r.left.IsZero() || r.left.After(now) }
