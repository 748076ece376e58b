package relay

import (
	"errors"
	"net/netip"
	"slices"
	"time"

	"dogwooddyke/coordination/routing"
)

// Origin says from which memory a dispatch continues a run; it is a value of log lines.
type Origin string

// The origins of a dispatch.
const (
	OriginNone   Origin = ""       // it continues no run
	OriginCopy   Origin = "copy"   // the endpoint has the complete copy of a move
	OriginSource Origin = "source" // the endpoint has stopped the run and keeps its memory
	OriginBackup Origin = "backup" // the endpoint has the backup, which may lack the end
	OriginPart   Origin = "part"   // the endpoint has a copy that was made for a move while the run went on
)

// pausedRun is a run that no endpoint works on, with the memories that are left of it. They are kept until an endpoint has made an event of the run:
// before that, it is not certain that it works on the run.
type pausedRun struct {
	since    time.Time
	memories []*runMemory // in the order in which they are tried
	source   *Endpoint    // endpoint that has stopped the run and can copy its memory again; nil if there is none
	refused  []*runMemory // that are not tried any more, since their endpoints refuse
	current  *runMemory   // from which the latest dispatch was to continue; nil before the first, and after a refusal
	sends    int          // dispatches that were to continue the run
	copies   int          // further copies that the source was asked for
}

// runMemory is one memory from which a run can continue at one endpoint.
type runMemory struct {
	origin    Origin
	address   netip.AddrPort
	endpoint  Endpoint // zero for a backup, which is looked up when it is needed
	copy      Copy
	slot      *routing.Slot   // nil if one has to be granted
	outcome   routing.Outcome // with which the slot is released if the run continues elsewhere
	refusals  int
	mayBeUsed bool      // an endpoint that has ended the run may have used the copy
	reached   bool      // one of the refusals came from the endpoint, so that asking it again is a retry
	notBefore time.Time // when the endpoint may be asked again
}

// ready returns the memories that may be tried now.
func (p *pausedRun) ready(now time.Time) []*runMemory {
	var ready []*runMemory
	for _, m := range p.memories {
		if !now.Before(m.notBefore) {
			ready = append(ready, m)
		}
	}
	return ready
}

// isOver reports whether the run can't continue any more: nothing is left of it, or it has been tried too often.
func (p *pausedRun) isOver() bool {
	nothingLeft := len(p.memories) == 0 && p.source == nil
	return nothingLeft || p.sends >= maximumContinuations
}

// mayWait reports whether the run may wait for an endpoint that can take it.
func (p *pausedRun) mayWait(now time.Time) bool { return now.Before(p.since.Add(continuationWait)) }

// refuse notes that the endpoint of the latest dispatch did not run it, and reports whether the memory is given up: its endpoint refuses again and
// again, or is gone.
func (p *pausedRun) refuse(err error, now time.Time) (givenUp bool) {
	m := p.current
	m.refusals++
	m.reached = m.reached || !isUnreached(err)
	m.notBefore = now.Add(continuationPause << (m.refusals - 1))
	refusal, ok := errors.AsType[*NotRunError](err)
	if givenUp = ok && refusal.AddressReused || isConnectionRefused(err) || m.refusals >= maximumMemoryRefusals; givenUp {
		p.remove(m)
		p.refused = append(p.refused, m)
	}
	p.current = nil
	return givenUp
}

// markCurrentUsed notes that the endpoint of the latest dispatch, which works on the run no more, may have used the memory.
func (p *pausedRun) markCurrentUsed() {
	p.remove(p.current)
	for _, m := range p.memories {
		m.mayBeUsed = m.mayBeUsed || m.copy.Source == p.current.copy.Source && m.copy.Handle == p.current.copy.Handle
	}
}

// copiedAgain notes the handle under which the source keeps the memory after a further copy.
func (p *pausedRun) copiedAgain(copied Copy) {
	for _, m := range p.memories {
		if m.origin == OriginSource && copied.Handle != "" {
			m.copy, m.mayBeUsed = copied, false
		}
	}
}

// remove takes a memory from those that are left.
func (p *pausedRun) remove(m *runMemory) {
	if at := slices.Index(p.memories, m); at >= 0 {
		p.memories = slices.Delete(p.memories, at, at+1)
	}
}

// addresses returns the endpoints that are known to this run.
func (p *pausedRun) addresses() []netip.AddrPort {
	var addresses []netip.AddrPort
	if p.source != nil {
		addresses = append(addresses, p.source.Address)
	}
	for _, m := range p.memories {
		addresses = append(addresses, m.address)
	}
	return addresses
}

// unusedCopies returns the copies that are left and that no dispatch may have used.
func (p *pausedRun) unusedCopies() []Copy {
	var unused []Copy
	for _, m := range slices.Concat(p.memories, p.refused) {
		isSame := func(c Copy) bool { return c.Source == m.copy.Source && c.Handle == m.copy.Handle }
		if m.origin != OriginBackup && !m.mayBeUsed && !(p.current != nil && isSame(p.current.copy)) && !slices.ContainsFunc(unused, isSame) {
			unused = append(unused, m.copy)
		}
	}
	return unused
}
