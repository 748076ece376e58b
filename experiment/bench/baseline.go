package bench

import (
	"math/rand/v2"
	"slices"

	"dogwooddyke/standin/model"
)

// sortedJobs gives the jobs in the order in which they came.
func sortedJobs(jobs map[*model.Generation]*job) []*job {
	all := make([]*job, 0, len(jobs))
	for _, j := range jobs {
		all = append(all, j)
	}
	slices.SortFunc(all, func(a, b *job) int { return a.number - b.number })
	return all
}

// roundRobin sends each job of an instance to the next engine, at once.
type roundRobin struct {
	driver *driver
	next   [][]int // by instance and service
}

func newRoundRobin(d *driver, seed uint64) *roundRobin {
	random := rand.New(rand.NewPCG(seed, 1))
	p := &roundRobin{driver: d}
	for range instanceCount {
		next := make([]int, len(d.byService))
		for s := range next {
			next[s] = random.IntN(len(d.byService[s]))
		}
		p.next = append(p.next, next)
	}
	return p
}

func (p *roundRobin) arrive(j *job) {
	engines := p.driver.byService[j.service]
	for range engines {
		next := &p.next[j.instance][j.service]
		*next = (*next + 1) % len(engines)
		if p.driver.dispatch(j, engines[*next]) {
			return
		}
	}
}

func (p *roundRobin) ended(j *job, cause cause) {
	if cause == causeLost {
		p.arrive(j)
	}
}

func (p *roundRobin) token(*job)  {}
func (p *roundRobin) tick(int)    {}
func (p *roundRobin) gaveUp(*job) {}

// leastInflight sends each job to the engine on which its instance has the least in progress, at once.
type leastInflight struct {
	driver   *driver
	inflight [][]int // by instance and engine
	on       map[*job]int
	random   *rand.Rand
}

func newLeastInflight(d *driver, seed uint64) *leastInflight {
	p := &leastInflight{driver: d, on: make(map[*job]int), random: rand.New(rand.NewPCG(seed, 2))}
	for range instanceCount {
		p.inflight = append(p.inflight, make([]int, len(d.engines)))
	}
	return p
}

func (p *leastInflight) arrive(j *job) {
	counts := p.inflight[j.instance]
	engines := slices.Clone(p.driver.byService[j.service])
	p.random.Shuffle(len(engines), func(a, b int) { engines[a], engines[b] = engines[b], engines[a] })
	slices.SortStableFunc(engines, func(a, b int) int { return counts[a] - counts[b] })
	for _, index := range engines {
		if p.driver.dispatch(j, index) {
			counts[index]++
			p.on[j] = index
			return
		}
	}
}

func (p *leastInflight) ended(j *job, cause cause) {
	p.inflight[j.instance][p.on[j]]--
	delete(p.on, j)
	if cause == causeLost {
		p.arrive(j)
	}
}

func (p *leastInflight) token(*job)  {}
func (p *leastInflight) tick(int)    {}
func (p *leastInflight) gaveUp(*job) {}
