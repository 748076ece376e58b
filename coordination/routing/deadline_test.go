package routing

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	simulationStep    = 50 * time.Millisecond
	simulationTokens  = 2               // tokens of each run per step
	simulationRunTime = 2 * time.Second // duration of each run
)

// simulation runs a core in synthetic time; each run lasts simulationRunTime.
type simulation struct {
	core    *Core
	now     time.Time
	waiting []*Request
	running []*Request
	started map[*Request]time.Time
	refused map[*Request]time.Time
}

func newSimulation(engines, slots int) *simulation {
	at := time.Unix(1000, 0)
	return &simulation{
		core: newCore(engines, slots, 1<<20, at), now: at,
		started: make(map[*Request]time.Time), refused: make(map[*Request]time.Time),
	}
}

func (s *simulation) submit(count int, patience time.Duration) {
	for n := range count {
		request := s.core.Submit(&RequestSpec{
			ID: fmt.Sprint(n), Entry: "e", Workspace: "w", PromptTokens: 10, Deadline: s.now.Add(patience),
		}, s.now)
		if request.Refusal() == nil {
			s.waiting = append(s.waiting, request)
		}
	}
}

func (s *simulation) step() {
	s.now = s.now.Add(simulationStep)
	s.running = slices.DeleteFunc(s.running, func(request *Request) bool {
		for range simulationTokens {
			s.core.RecordToken(request, s.now)
		}
		over := !s.now.Before(s.started[request].Add(simulationRunTime))
		if over {
			s.core.Release(request, OutcomeFinished, s.now)
		}
		return over
	})
	s.core.Tick(s.now)
	for _, request := range s.core.Admit(s.now) {
		if request.Refusal() != nil {
			s.refused[request] = s.now
			continue
		}
		s.started[request] = s.now
		s.running = append(s.running, request)
	}
}

func (s *simulation) run(span time.Duration) {
	for end := s.now.Add(span); s.now.Before(end); {
		s.step()
	}
}

// measureStartRate lets the pool observe how fast requests start while others are queued.
func (s *simulation) measureStartRate() {
	s.submit(40, time.Minute)
	s.run(time.Minute)
}

// refusedWait returns the total time for which the refused requests were queued.
func (s *simulation) refusedWait() time.Duration {
	sum := time.Duration(0)
	for request, at := range s.refused {
		sum += at.Sub(request.submitted)
	}
	return sum
}

// TestRefuseLate loses half of the engines while requests are queued that all engines together would have served before their deadlines.
// The baseline refuses requests only at their deadlines.
func TestRefuseLate(t *testing.T) {
	simulate := func(baseline bool) *simulation {
		s := newSimulation(4, 2)
		if baseline {
			s.core.pools["e"].latenessChecked = s.now.Add(time.Hour)
		}
		s.measureStartRate()
		s.submit(36, 12*time.Second)
		s.run(time.Second)
		s.core.SetLeaving(address(1), true)
		s.core.SetLeaving(address(2), true)
		s.run(20 * time.Second)
		return s
	}
	baseline, refusedEarly := simulate(true), simulate(false)
	t.Run("refusedSooner", func(t *testing.T) {
		is := is.New(t)
		is.True(len(baseline.refused) > 0)
		t.Logf("refused %d after %s in total, baseline %d after %s",
			len(refusedEarly.refused), refusedEarly.refusedWait(), len(baseline.refused), baseline.refusedWait())
		is.True(refusedEarly.refusedWait()*4 < baseline.refusedWait()*3)
	})
	t.Run("noFewerServed", func(t *testing.T) {
		is.New(t).True(len(refusedEarly.started) >= len(baseline.started))
	})
	t.Run("retryTime", func(t *testing.T) {
		is := is.New(t)
		for request, at := range refusedEarly.refused {
			is.Equal(request.Refusal().Reason, ReasonDeadline)
			is.True(!request.Refusal().RetryAt.Before(at.Add(minimumRetryDelay)))
		}
	})
}

// TestEarliestDeadlineFirst submits many requests with late deadlines and then some with early ones. In order of arrival the latter would
// miss their deadlines.
func TestEarliestDeadlineFirst(t *testing.T) {
	simulate := func(patience time.Duration) int {
		s := newSimulation(2, 2)
		s.measureStartRate()
		s.submit(24, 30*time.Second)
		s.run(time.Second)
		submittedAt := s.now
		s.submit(4, patience)
		s.run(20 * time.Second)
		inTime := 0
		for request, at := range s.started {
			if request.submitted.Equal(submittedAt) && !at.After(submittedAt.Add(5*time.Second)) {
				inTime++
			}
		}
		return inTime
	}
	is := is.New(t)
	is.Equal(simulate(30*time.Second), 0) // equal patience: served in order of arrival
	is.Equal(simulate(5*time.Second), 4)
}
