package control

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddyke/standin"
)

// Convergence is what a run with changes and replaced instances showed.
type Convergence struct {
	Instances int           `json:"instances"`
	Seed      uint64        `json:"seed"`
	Changes   int           `json:"changes"`
	Accepted  int           `json:"accepted"`
	Replaced  int           `json:"replaced"`
	Median    time.Duration `json:"median"` // from the start of publish until in force on every live instance
	Most      time.Duration `json:"most"`
	Late      int           `json:"late"`     // changes past the bound, or never in force on a live instance
	Reverted  int           `json:"reverted"` // times that an instance showed an older revision than before
	Digests   int           `json:"digests"`  // different catalogues at the end
	Revision  uint64        `json:"revision"` // at the end
}

// Held tells whether all that must hold did.
func (c *Convergence) Held() bool {
	return c.Late == 0 && c.Reverted == 0 && c.Digests == 1 && c.Accepted == c.Changes
}

// String gives the result in one line.
func (c *Convergence) String() string {
	return fmt.Sprintf("%d instances, seed %d: %d of %d changes accepted, %d instances killed and replaced; in force everywhere after %s (median), %s (most); %d late, %d reverted, %d catalogues at the end",
		c.Instances, c.Seed, c.Accepted, c.Changes, c.Replaced, c.Median, c.Most, c.Late, c.Reverted, c.Digests)
}

// change is one accepted change and when its publication began.
type change struct {
	offset uint64
	at     time.Time
}

// Course is what happens during a run.
type Course struct {
	Instances int
	PerSecond float64 // changes
	Span      time.Duration
	KillEvery time.Duration
	ListLag   time.Duration
	Seed      uint64
}

// Converge publishes changes at a rate while instances are killed and replaced.
func Converge(ctx context.Context, course Course) (*Convergence, error) {
	f, err := startFleet(ctx, course.Instances, standin.RosterConfig{Lag: course.ListLag})
	if err != nil {
		return nil, err
	}
	defer f.close()
	r := &Convergence{Instances: course.Instances, Seed: course.Seed}
	random := rand.New(rand.NewPCG(course.Seed, course.Seed))
	end, next := time.Now().Add(course.Span), time.Now().Add(course.KillEvery)
	ended := map[*node]time.Time{}
	var changes []change
	for now := time.Now(); now.Before(end) && ctx.Err() == nil; now = time.Now() {
		if now.After(next) {
			next = next.Add(course.KillEvery)
			if err := f.replace(random, ended); err != nil {
				return nil, err
			}
			r.Replaced++
		}
		r.Changes++
		if offset, err := f.publish(ctx, random.IntN(entries), r.Changes); err == nil {
			r.Accepted++
			changes = append(changes, change{offset: offset, at: now})
		}
		r.Reverted += f.reverted()
		pause(ctx, time.Duration(float64(time.Second)/course.PerSecond)-time.Since(now))
	}
	f.settle(ctx)
	f.judge(r, changes, ended)
	return r, ctx.Err()
}

// settle waits until all nodes are as far as the publisher, within the bound.
func (f *fleet) settle(ctx context.Context) {
	head := f.publisher.Table().Offset()
	for deadline := time.Now().Add(inForceBound); time.Now().Before(deadline); {
		behind := slices.ContainsFunc(f.nodes, func(n *node) bool { return n.table.Offset() < head })
		if !behind || !pause(ctx, pollInterval) {
			return
		}
	}
}

// replace kills a node as a crash does and starts another; the list learns of both later.
func (f *fleet) replace(random *rand.Rand, ended map[*node]time.Time) error {
	i := random.IntN(len(f.nodes))
	n := f.nodes[i]
	ended[n] = time.Now()
	n.close()
	f.roster.Delete(n.address)
	f.nodes = slices.Delete(f.nodes, i, i+1)
	return f.add()
}

// reverted counts the nodes that show an older revision than they did.
func (f *fleet) reverted() int {
	count := 0
	for _, n := range f.nodes {
		revision := n.table.View().Revision
		n.mu.Lock()
		if revision < n.shown {
			count++
		}
		n.shown = max(n.shown, revision)
		n.mu.Unlock()
	}
	return count
}

// judge takes for each change the last time at which it came into force on an instance that lived through the bound.
func (f *fleet) judge(r *Convergence, changes []change, ended map[*node]time.Time) {
	nodes := slices.Clone(f.nodes)
	for n := range ended {
		nodes = append(nodes, n)
	}
	var times []time.Duration
	for _, c := range changes {
		worst, late := time.Duration(0), false
		for _, n := range nodes {
			bound := c.at.Add(inForceBound)
			if gone, ok := ended[n]; ok && gone.Before(bound) {
				continue
			}
			if n.startedAt.After(c.at) {
				// It began after the change, and is no instance that serves until it has read it.
				continue
			}
			at, ok := n.inForce(c.offset)
			late = late || !ok || at.After(bound)
			worst = max(worst, at.Sub(c.at))
		}
		if late {
			r.Late++
		}
		times = append(times, worst)
	}
	if len(times) > 0 {
		slices.Sort(times)
		r.Median, r.Most = times[len(times)/2], times[len(times)-1]
	}
	digests := map[string]bool{}
	for _, n := range f.nodes {
		v := n.table.View()
		digests[v.Digest] = true
		r.Revision = max(r.Revision, v.Revision)
	}
	r.Digests = len(digests)
}
