package bench

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"dogwooddyke/coordination/routing"
	"dogwooddyke/standin/model"
)

// job is one request of a caller and what became of it.
type job struct {
	number    int
	at        time.Time
	service   int
	class     int
	workspace int
	instance  int // that the balancer gave it to
	prompt    int
	length    int
	blocks    []uint64
	deadline  time.Time // for the first token

	generation *model.Generation
	engine     int // -1 when on none
	delivered  int // tokens that the caller has
	first      time.Time
	last       time.Time
	stall      time.Duration
	refused    routing.Reason
	gaveUp     bool
	finished   bool
	ask        *routing.RequestSpec
	flight     *routing.Request
}

// jobs draws the requests of a scenario; rates are requests per second of each service.
func (d *deployment) jobs(s *Scenario, rates []float64, start time.Time) []*job {
	var all []*job
	for i := range d.services {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)+100))
		rate := rates[i]
		for at := 0.0; at < s.Span.Seconds(); {
			at += random.ExpFloat64() / (rate * s.burst(at))
			j := d.draw(i, start.Add(time.Duration(at*float64(time.Second))), random)
			all = append(all, j)
		}
		if s.Fault == FaultNoisy {
			all = append(all, d.noise(i, s, rate/sum(rates), start)...)
		}
	}
	slices.SortStableFunc(all, func(a, b *job) int { return a.at.Compare(b.at) })
	for i, j := range all {
		j.number = i
	}
	return all
}

// noise draws what the last workspace asks for beyond its usual part, so that it asks for ten times its limit; part is that of the service.
func (d *deployment) noise(service int, s *Scenario, part float64, start time.Time) []*job {
	var all []*job
	random := rand.New(rand.NewPCG(s.Seed, uint64(service)+200))
	last := len(d.workspaces) - 1
	for at := 0.0; at < s.Span.Seconds(); {
		at += random.ExpFloat64() / (noisyFactor * lastRequests * part)
		j := d.draw(service, start.Add(time.Duration(at*float64(time.Second))), random)
		j.workspace = last
		all = append(all, j)
	}
	return all
}

func sum(values []float64) float64 {
	total := 0.0
	for _, v := range values {
		total += v
	}
	return total
}

func (s *Scenario) burst(at float64) float64 {
	if !s.Burst {
		return 1
	}
	if int(at/10)%2 == 0 {
		return 0.6
	}
	return 1.4
}

func (d *deployment) draw(service int, at time.Time, random *rand.Rand) *job {
	j := &job{at: at, service: service, engine: -1}
	j.class = pick(random, len(d.services[service].classes), func(i int) float64 { return d.services[service].classes[i].part })
	j.workspace = pick(random, len(d.workspaces), func(i int) float64 { return d.workspaces[i] })
	j.instance = random.IntN(instanceCount)
	class := &d.services[service].classes[j.class]
	j.prompt = class.prompt.Draw(random.Uint64())
	j.length = class.output.Draw(random.Uint64())
	j.deadline = at.Add(class.patience)
	j.blocks = prompts(j, random)
	return j
}

func pick(random *rand.Rand, count int, part func(i int) float64) int {
	x := random.Float64()
	for i := range count {
		if x -= part(i); x < 0 {
			return i
		}
	}
	return count - 1
}

// prompts draws block hashes: some common to the workspace, some to a topic, the rest unique.
func prompts(j *job, random *rand.Rand) []uint64 {
	count := min(j.prompt/blockTokens, maximumBlocks)
	blocks := make([]uint64, 0, count)
	topic := uint64(math.Floor(math.Pow(random.Float64(), 2) * topicCount))
	common := uint64(j.service+1)<<40 | uint64(j.workspace+1)<<32
	for n := range count {
		switch {
		case n < commonBlocks:
			blocks = append(blocks, common|uint64(n))
		case n < commonBlocks+topicBlocks:
			blocks = append(blocks, common|(topic+1)<<16|uint64(n))
		default:
			blocks = append(blocks, random.Uint64())
		}
	}
	return blocks
}

// tokensPerRequest gives the mean length of a service's answers, by drawing many.
func (s *service) tokensPerRequest() float64 {
	const draws = 20000
	total := 0.0
	for i := range s.classes {
		sum := 0
		for n := range draws {
			sum += s.classes[i].output.Draw(uint64(n))
		}
		total += s.classes[i].part * float64(sum) / draws
	}
	return cmp.Or(total, 1)
}

// guess gives a rough number of tokens per second that the service's engines can make.
func (s *service) guess() float64 {
	sum := 0.0
	for _, e := range s.engines {
		sum += e.Speed * float64(e.Knee) / e.StepTime.Seconds()
	}
	return sum
}
