package model

import "time"

// begin admits what fits, makes room for one token of each sequence and sets the end of the step.
func (m *Model) begin(now time.Time) {
	m.admit()
	m.makeRoom(now)
	if len(m.running) == 0 {
		m.ends = time.Time{}
		return
	}
	m.ends = now.Add(m.config.stepTime(len(m.running), m.used, m.process()))
}

// admit moves waiting generations into the batch, in order, while slots and memory last.
func (m *Model) admit() {
	for len(m.waiting) > 0 && len(m.running) < m.config.Slots {
		g := m.waiting[0]
		if m.used+g.held()+len(m.running)+1 > m.config.Capacity {
			return
		}
		m.waiting.take()
		g.phase = phaseRunning
		cached := min(m.cache.prefix(g.Blocks)*promptBlockTokens, g.held()-1)
		g.prefill = max(g.held()-max(cached, 0), 1)
		m.counters.CachedTokens += max(cached, 0)
		m.used += g.held()
		m.running = append(m.running, g)
	}
}

// makeRoom preempts until each sequence in the batch can grow by a token.
func (m *Model) makeRoom(now time.Time) {
	for len(m.running) > 1 && m.used+len(m.running) > m.config.Capacity {
		m.preempt(m.victim(), now)
	}
}

// victim returns the index of the sequence with the lowest priority, the youngest of these.
func (m *Model) victim() int {
	last := 0
	for i, g := range m.running {
		if m.running[last].before(g) {
			last = i
		}
	}
	return last
}

func (m *Model) preempt(i int, now time.Time) {
	g := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	m.used -= g.held()
	m.counters.Preemptions++
	g.preemptions++
	if g.stalled.IsZero() {
		g.stalled = now
	}
	m.waiting.add(g)
	m.events = append(m.events, Event{Generation: g, Kind: KindPreempted, Index: g.emitted, At: now})
}

// process takes one chunk of prompt tokens off the sequences that need it and returns its size.
func (m *Model) process() int {
	left := m.config.PrefillChunk
	for _, g := range m.running {
		if left == 0 {
			break
		}
		if g.prefill > 0 {
			taken := min(g.prefill, left)
			g.prefill -= taken
			left -= taken
		}
	}
	processed := m.config.PrefillChunk - left
	m.counters.PrefillTokens += processed
	return processed
}

// finish emits a token of each sequence whose prompt is processed and drops those that are complete.
func (m *Model) finish(now time.Time) {
	m.counters.Steps++
	kept := m.running[:0]
	for _, g := range m.running {
		if g.prefill > 0 {
			kept = append(kept, g)
			continue
		}
		m.emit(g, now)
		if g.phase == phaseRunning {
			kept = append(kept, g)
		}
	}
	clear(m.running[len(kept):])
	m.running = kept
}

func (m *Model) emit(g *Generation, now time.Time) {
	if g.emitted == 0 {
		m.cache.store(g.Blocks, now)
	}
	if !g.stalled.IsZero() {
		m.counters.StallTime += now.Sub(g.stalled)
		g.stalled = time.Time{}
	}
	event := Event{Generation: g, Kind: KindToken, Index: g.emitted, At: now}
	g.emitted++
	m.used++
	m.counters.Tokens++
	if g.emitted == g.Length {
		event.Kind = KindLast
		g.phase = phaseEnded
		m.used -= g.held()
		m.counters.Finished++
	}
	m.events = append(m.events, event)
}
