package load

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"strings"

	"github.com/google/uuid"
)

// Plan draws requests; equal seeds give equal requests, but for the time within idempotency keys.
type Plan struct {
	profile  *Profile
	targets  int
	random   *rand.Rand
	keys     *rand.ChaCha8
	arrivals *Arrivals
	count    int
}

// NewPlan returns the plan of a run at the given mean rate in requests/s over that many instances.
func NewPlan(p *Profile, rate float64, targets int, seed uint64) *Plan {
	var wide [32]byte
	binary.LittleEndian.PutUint64(wide[:], seed)
	source := rand.NewPCG(seed, 1)
	times := rand.New(rand.NewPCG(seed, 2))
	return &Plan{
		profile:  p,
		targets:  targets,
		random:   rand.New(source),
		keys:     rand.NewChaCha8(wide),
		arrivals: NewArrivals(rate, p.Shape, times),
	}
}

// Next returns the request that arrives next.
func (p *Plan) Next() *Request {
	r := &Request{Number: p.count, Due: p.arrivals.Next(), Seed: p.random.Int64N(1 << 31)}
	p.count++
	r.Mix = pick(p.random, p.profile.Mixes, func(m *Mix) float64 { return m.Share })
	r.Workspace = pick(p.random, p.profile.Workspaces, func(w *Workspace) float64 { return w.Share })
	r.Target = p.random.IntN(p.targets)
	r.Other = r.Target
	if r.Mix.Generates() {
		r.Tokens = r.Mix.Tokens.Draw(p.random)
	}
	if r.Mix.Kind == KindCall {
		p.call(r)
	}
	p.prompt(r)
	return r
}

func (p *Plan) call(r *Request) {
	r.Key = p.key()
	if p.targets > 1 && p.random.Float64() < r.Mix.Repeat {
		r.Other = (r.Target + 1 + p.random.IntN(p.targets-1)) % p.targets
	}
}

// key returns a UUIDv7, which carries the time of its making.
func (p *Plan) key() string {
	id, err := uuid.NewV7FromReader(p.keys)
	if err != nil {
		panic(err) // ChaCha8 never fails to read
	}
	return id.String()
}

// prompt starts with the part that the workspace's requests share; what follows is of this request alone.
func (p *Plan) prompt(r *Request) {
	shared := fill(fmt.Sprintf("%s/%s ", r.Workspace.Name, r.Mix.Name), r.Mix.SharedBytes)
	own := fmt.Sprintf("request=%d-%016x ", r.Number, p.random.Uint64())
	if r.Mix.Generates() {
		own += fmt.Sprintf("tokens=%d ", r.Tokens)
	}
	r.Shared = len(shared)
	r.Prompt = shared + fill(own, r.Mix.PromptBytes)
}

// fill repeats a text up to the length; a text that is longer stays whole.
func fill(text string, length int) string {
	if len(text) >= length {
		return text
	}
	return text + strings.Repeat(".", length-len(text))
}

func pick[T any](r *rand.Rand, items []T, share func(*T) float64) *T {
	total := 0.0
	for i := range items {
		total += share(&items[i])
	}
	at := r.Float64() * total
	for i := range items {
		at -= share(&items[i])
		if at < 0 {
			return &items[i]
		}
	}
	return &items[len(items)-1]
}
