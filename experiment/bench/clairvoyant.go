package bench

import (
	"cmp"
	"math"
	"slices"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/standin/model"
)

// clairvoyant holds all jobs in one place and knows each one's length and each engine's true state.
// Its order of service is that of dogwooddyke: priority with ageing, then the workspace that was served least.
type clairvoyant struct {
	driver *driver
	tries  int      // jobs that don't fit before it looks no further down the queue
	queues [][]*job // by service
	served []float64
	filled [][]*job // by engine
}

func newClairvoyant(d *driver, tries int) *clairvoyant {
	return &clairvoyant{
		tries:  tries,
		driver: d,
		queues: make([][]*job, len(d.byService)),
		served: make([]float64, len(d.deployment.workspaces)),
		filled: make([][]*job, len(d.engines)),
	}
}

func (p *clairvoyant) arrive(j *job) {
	p.lift(j.workspace)
	p.queues[j.service] = append(p.queues[j.service], j)
	p.admit(j.service)
}

// lift brings a workspace that was idle up to the least served one in use.
func (p *clairvoyant) lift(workspace int) {
	least := math.Inf(1)
	for _, group := range append(slices.Clone(p.queues), p.filled...) {
		for _, j := range group {
			if j.workspace == workspace {
				return
			}
			least = min(least, p.served[j.workspace])
		}
	}
	if !math.IsInf(least, 1) {
		p.served[workspace] = max(p.served[workspace], least)
	}
}

func (p *clairvoyant) admit(service int) {
	queue := p.queues[service]
	slices.SortStableFunc(queue, func(a, b *job) int {
		return cmp.Or(cmp.Compare(p.urgency(a), p.urgency(b)), cmp.Compare(p.served[a.workspace], p.served[b.workspace]), a.number-b.number)
	})
	waiting := queue[:0]
	for n, j := range queue {
		if len(waiting) > p.tries || !p.start(j) {
			waiting = append(waiting, queue[n])
		}
	}
	p.queues[service] = waiting
	p.refuse(service)
}

func (p *clairvoyant) urgency(j *job) int {
	const ageStep = 4 * time.Second
	return p.driver.deployment.services[j.service].classes[j.class].priority - int(p.driver.now.Sub(j.at)/ageStep)
}

// start sends a job to the engine on which it ends first, among those with room.
func (p *clairvoyant) start(j *job) bool {
	best, least := -1, math.Inf(1)
	for _, index := range p.driver.byService[j.service] {
		if score, fits := p.score(j, index); fits && score < least {
			best, least = index, score
		}
	}
	if best < 0 || !p.driver.dispatch(j, best) {
		return false
	}
	p.filled[best] = append(p.filled[best], j)
	p.served[j.workspace] += float64(j.length) + float64(j.prompt)/4
	return true
}

// score gives what the job's run costs on the engine in seconds, its own and those that it adds to others'.
func (p *clairvoyant) score(j *job, index int) (seconds float64, fits bool) {
	e := p.driver.engines[index]
	config := e.model.Config()
	batch := len(p.filled[index])
	step := stepSeconds(&config, batch+1)
	if e.dead || step > clairvoyantStep.Seconds() || float64(p.peak(j, index)) > float64(config.Capacity)*config.MemoryKnee {
		return 0, false
	}
	prefill := float64(j.prompt) / (config.PrefillSpeed * config.Speed)
	added := step - stepSeconds(&config, batch)
	seconds = prefill*float64(batch+1) + float64(j.length)*step
	for _, other := range p.filled[index] {
		seconds += added * float64(min(other.length-other.generation.Emitted(), j.length))
	}
	return seconds, true
}

// stepSeconds gives the true time of a step without prompts.
func stepSeconds(config *model.Config, batch int) float64 {
	return (config.StepTime + time.Duration(max(batch-config.Knee, 0))*config.SequenceCost).Seconds() / config.Speed
}

// peak gives the most memory that the engine will need when the job is added: it is reached just before one of them ends.
func (p *clairvoyant) peak(j *job, index int) int {
	type span struct{ held, left int }
	spans := []span{{j.prompt, j.length}}
	for _, other := range p.filled[index] {
		emitted := other.generation.Emitted()
		spans = append(spans, span{other.prompt + emitted, other.length - emitted})
	}
	slices.SortFunc(spans, func(a, b span) int { return b.left - a.left })
	held, most := 0, 0
	for n, s := range spans {
		held += s.held
		most = max(most, held+(n+1)*(s.left+1))
	}
	return most
}

// refuse turns away jobs whose callers will have left before the queue ahead of them is served.
func (p *clairvoyant) refuse(service int) {
	now := p.driver.now
	p.queues[service] = slices.DeleteFunc(p.queues[service], func(j *job) bool {
		if now.Before(j.deadline.Add(-targetFirst)) {
			return false
		}
		j.refused = routing.ReasonDeadline
		return true
	})
}

func (p *clairvoyant) ended(j *job, cause cause) {
	for index := range p.filled {
		p.filled[index] = slices.DeleteFunc(p.filled[index], func(other *job) bool { return other == j })
	}
	if cause == causeLost {
		p.queues[j.service] = append(p.queues[j.service], j)
	}
	p.admit(j.service)
}

func (p *clairvoyant) gaveUp(j *job) {
	p.queues[j.service] = slices.DeleteFunc(p.queues[j.service], func(other *job) bool { return other == j })
}

func (p *clairvoyant) token(*job) {}

func (p *clairvoyant) tick(instance int) {
	if instance != 0 {
		return
	}
	for service := range p.queues {
		p.admit(service)
	}
}
