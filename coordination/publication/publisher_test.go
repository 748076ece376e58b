package publication

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// fakeLog loses acknowledgements and answers as told.
type fakeLog struct {
	mu      sync.Mutex
	records []record.Record
	lost    int    // appends that take effect without an acknowledgement
	dropped int    // appends that are lost with an unknown outcome
	outage  bool   // neither appends nor reads
	before  func() // runs before the next append
}

func (l *fakeLog) Append(_ context.Context, _ string, data []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if before := l.before; before != nil {
		l.before = nil
		before()
	}
	switch {
	case l.outage:
		return 0, record.ErrUnavailable
	case l.dropped > 0:
		l.dropped--
		return 0, record.ErrOutcomeUnknown
	}
	l.add(data)
	if l.lost > 0 {
		l.lost--
		return 0, record.ErrOutcomeUnknown
	}
	return uint64(len(l.records)), nil
}

func (l *fakeLog) add(data []byte) {
	l.records = append(l.records, record.Record{Offset: uint64(len(l.records) + 1), Data: data})
}

func (l *fakeLog) Read(_ context.Context, _ string, from uint64, _ time.Time) (record.Page, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.outage {
		return record.Page{}, record.ErrUnavailable
	}
	next := uint64(len(l.records) + 1)
	page := record.Page{First: 1, Next: next}
	if from < next {
		page.Records = l.records[from-1:]
	}
	return page, nil
}

func workspace(owner string, concurrency int) *Wish {
	w := &catalogue.Workspace{
		Name: "rescue", Owner: owner, KeyHashes: []string{catalogue.HashKey("k")},
		Limits: catalogue.Limits{Concurrency: concurrency},
	}
	subject := catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: "rescue"}
	return &Wish{Subject: subject, Workspace: w, Operator: "islaget"}
}

// inTime runs the body in a bubble with a context of a minute.
func inTime(t *testing.T, name string, body func(ctx context.Context, is *is.I, log *fakeLog)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			body(ctx, is.New(t), &fakeLog{})
		})
	})
}

func TestPublish(t *testing.T) {
	inTime(t, "acknowledgementLostAfterEffect", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.lost = 1
		done, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(1))
		is.Equal(len(log.records), 1)
	})
	inTime(t, "appendLost", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.dropped = 3
		done, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(1))
	})
	inTime(t, "lostAppendThatLandsLate", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.dropped = 1
		p := New(log, catalogue.Rules{})
		_, err := p.Publish(ctx, workspace("islaget", 1))
		is.NoErr(err)
		log.add(log.records[0].Data)
		done, err := p.Publish(ctx, workspace("islaget", 2))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(3))
		is.Equal(p.Table().View().History()[1].Offset, uint64(3))
	})
	inTime(t, "outageEndsInUnknown", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.outage = true
		_, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
		is.True(errors.Is(err, ErrUnknown))
	})
	inTime(t, "outageThatPasses", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.outage = true
		time.AfterFunc(30*time.Second, func() {
			log.mu.Lock()
			defer log.mu.Unlock()
			log.outage = false
		})
		_, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
		is.NoErr(err)
	})
	inTime(t, "racingOperators", func(ctx context.Context, is *is.I, log *fakeLog) {
		log.before = func() {
			log.mu.Unlock()
			defer log.mu.Lock()
			_, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 7))
			is.NoErr(err)
		}
		_, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeConflict)
	})
	inTime(t, "sameAgainIsInForce", func(ctx context.Context, is *is.I, log *fakeLog) {
		for range 3 {
			done, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("islaget", 1))
			is.NoErr(err)
			is.Equal(done.Offset, uint64(1))
		}
		is.Equal(len(log.records), 1)
	})
	inTime(t, "sameChangeIDAfterLaterChanges", func(ctx context.Context, is *is.I, log *fakeLog) {
		first := workspace("islaget", 1)
		first.ChangeID = "first"
		for _, w := range []*Wish{first, workspace("islaget", 2), first} {
			_, err := New(log, catalogue.Rules{}).Publish(ctx, w)
			is.NoErr(err)
		}
		is.Equal(len(log.records), 2)
	})
	inTime(t, "notTheOwner", func(ctx context.Context, is *is.I, log *fakeLog) {
		_, err := New(log, catalogue.Rules{}).Publish(ctx, workspace("gyeongsan", 1))
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeNotOwner)
	})
}
