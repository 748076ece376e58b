package standin

// foreignPrefix goes before the id of a generation whose event is made foreign.
const foreignPrefix = "foreign-"

// render appends the events from next up to ready, changed where a fault says so, and returns the next index to render.
func (e *Engine) render(to []byte, g *generation, next, ready int, end bool) ([]byte, int) {
	for next < ready {
		switch e.perturbation(g, next+1 < ready, end) {
		case FaultDuplicate:
			to = g.appendChunk(to, g.model.ID, next)
			to = g.appendChunk(to, g.model.ID, next)
		case FaultLose:
		case FaultForeign:
			to = g.appendChunk(to, foreignPrefix+g.model.ID, next)
		case FaultReorder:
			to = g.appendChunk(to, g.model.ID, next+1)
			to = g.appendChunk(to, g.model.ID, next)
			next++
		case faultAwait:
			return to, next
		default:
			to = g.appendChunk(to, g.model.ID, next)
		}
		next++
	}
	return to, next
}

// faultAwait says that an event waits for the next, to swap places with it.
const faultAwait FaultKind = "await"

// perturbation uses up one of the generation's changes and names it; empty when there is none.
func (e *Engine) perturbation(g *generation, hasNext, end bool) FaultKind {
	e.engineMutex.Lock()
	defer e.engineMutex.Unlock()
	for _, kind := range perturbations {
		if _, ok := e.faults.find(kind); !ok || g.perturb[kind] == 0 {
			continue
		}
		if kind == FaultReorder && !hasNext {
			if end {
				continue
			}
			return faultAwait
		}
		g.perturb[kind]--
		return kind
	}
	return ""
}

// perturbations returns the changes in force for a generation that starts now.
func (e *Engine) perturbations() map[FaultKind]int {
	var all map[FaultKind]int
	for _, kind := range perturbations {
		fault, ok := e.faults.find(kind)
		if !ok {
			continue
		}
		if all == nil {
			all = make(map[FaultKind]int)
		}
		all[kind] = int(fault.Value)
	}
	return all
}
