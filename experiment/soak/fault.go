package soak

import (
	"cmp"
	"context"
	"net/http"
	"syscall"
	"time"

	"dogwooddyke/internal/wait"
)

// carry makes one fault happen; it returns once the fault has begun.
func (s *site) carry(ctx context.Context, p step) {
	s.pending.Go(func() {
		t := trouble{step: p, began: time.Now()}
		if s.happen(context.WithoutCancel(ctx), p) {
			t.ended = time.Now()
			s.ledger.trouble(t)
		}
	})
}

// happen carries a fault to its end; false means that it did not take place.
func (s *site) happen(ctx context.Context, p step) bool {
	switch p.kind {
	case kindKill, kindStop, kindFreeze, kindReload:
		return s.harm(ctx, p)
	case kindLogDown:
		s.away.RLock()
		defer s.away.RUnlock()
		s.log.Refuse(http.StatusServiceUnavailable)
		defer s.log.Refuse(0)
	case kindLogSilent:
		s.away.RLock()
		defer s.away.RUnlock()
		s.log.Silence(true)
		defer s.log.Silence(false)
	case kindLogForget:
		s.log.ExpireAll()
		return true
	case kindRestore:
		return s.restoreLog(ctx, p)
	case kindLogLink:
		l := s.nodes[p.target%len(s.nodes)].log
		l.set(p.mode)
		defer l.set(modePass)
	case kindEngine:
		m := s.any(p.target)
		s.ledger.holds(m.serving, p.last)
		l := m.link
		l.set(p.mode)
		defer l.set(modePass)
	case kindReclaim, kindCrash:
		return s.lose(ctx, p)
	case kindLimit:
		return s.limit(ctx, p)
	case kindCrashing:
		return s.crashOn(ctx, &s.crashes.part, p.last)
	case kindRepeated:
		return s.crashOn(ctx, &s.crashes.request, p.last)
	case kindEvacuate:
		return s.evacuate(ctx, p)
	case kindSpoilt:
		e := s.any(p.target).engine
		e.Spoil(true)
		defer e.Spoil(false)
	case kindRelease:
		s.release(p)
		return true
	case kindRest, kindSaidLeaving:
		return s.state(ctx, p)
	case kindCatalogue:
		s.publish()
		return true
	}
	return wait.For(ctx, p.last) == nil
}

// harm is a fault of an instance's process; kill and stop end with the process's next start.
func (s *site) harm(ctx context.Context, p step) bool {
	n := s.hold(p.target)
	if n == nil {
		return false
	}
	defer s.free(n)
	switch p.kind {
	case kindReload:
		n.signal(syscall.SIGHUP)
		return true
	case kindFreeze:
		n.signal(syscall.SIGSTOP)
		defer n.signal(syscall.SIGCONT)
		return wait.For(ctx, p.last) == nil
	case kindStop:
		n.stop(p, s.options.grace())
	default:
		n.end()
	}
	if wait.For(ctx, p.last/2) != nil {
		return false
	}
	return n.start() == nil && (s.options.Planned == nil || n.await())
}

// lose takes an engine away, with notice or without, and starts another in its place.
func (s *site) lose(ctx context.Context, p step) bool {
	m := s.take(p.target)
	if m == nil {
		return false
	}
	if p.kind == kindReclaim {
		s.announce(m, p.target)
		if wait.For(ctx, cmp.Or(p.notice, shortNotice)) != nil {
			return false
		}
	}
	m.engine.End()
	m.link.set(modeReset)
	m.engine.Close()
	if p.kind == kindCrash {
		if wait.For(ctx, lapse) != nil {
			return false
		}
		s.announce(m, 0)
	}
	return s.add(serviceModel, m.engine.Version) == nil
}

// announce tells that an engine is leaving: some say so, of others the entry is just removed. It waits while the log takes nothing.
func (s *site) announce(m *member, number int) {
	s.away.Lock()
	defer s.away.Unlock()
	if number%2 == 1 {
		s.setState(m, "draining")
		return
	}
	s.setState(m, "")
}
