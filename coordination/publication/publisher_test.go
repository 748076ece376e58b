package publication

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/coordination/internal/logtest"
	"dogwooddyke/state/catalogue"
)

// desiredWorkspace returns the desired state of the workspace rescue, published by the operator islaget.
func desiredWorkspace(owner string, concurrency int) *DesiredState {
	w := &catalogue.Workspace{
		Name: "rescue", Owner: owner, KeyHashes: []string{catalogue.HashKey("k")},
		Limits: catalogue.Limits{Concurrency: concurrency},
	}
	subject := catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: "rescue"}
	return &DesiredState{Subject: subject, Workspace: w, Operator: "islaget"}
}

// inBubble runs the body as a subtest in a synctest bubble, with a context that ends after a minute.
func inBubble(t *testing.T, name string, body func(ctx context.Context, is *is.I, log *logtest.Link)) {
	t.Run(name, func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			body(ctx, is.New(t), &logtest.Link{Log: logtest.New()})
		})
	})
}

func TestPublish(t *testing.T) {
	inBubble(t, "acknowledgementOfStoredAppendLost", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.LoseAcknowledgements(1)
		done, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(1))
		is.Equal(log.Log.(*logtest.Log).Head(catalogue.Stream), uint64(1))
	})
	inBubble(t, "addedAgainAfterRemoval", func(ctx context.Context, is *is.I, log *logtest.Link) {
		p := New(log, catalogue.Rules{})
		add, remove := desiredWorkspace("islaget", 1), desiredWorkspace("islaget", 1)
		remove.Workspace = nil
		for n := range 3 {
			log.LoseAcknowledgements(1)
			done, err := p.Publish(ctx, add)
			is.NoErr(err)
			is.Equal(done.Offset, uint64(2*n+1))
			is.Equal(p.Table().View().RevisionOf(add.Subject), done.Offset)
			again, err := New(log, catalogue.Rules{}).Publish(ctx, add)
			is.NoErr(err)
			is.True(again.AlreadyInForce)
			is.Equal(again.Offset, done.Offset)
			_, err = p.Publish(ctx, remove)
			is.NoErr(err)
		}
	})
	inBubble(t, "appendLost", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.DropAppends(3)
		done, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(1))
	})
	inBubble(t, "lateCopyOfAppendIsIgnored", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.DropAppends(1)
		p := New(log, catalogue.Rules{})
		_, err := p.Publish(ctx, desiredWorkspace("islaget", 1))
		is.NoErr(err)
		page, err := log.Read(ctx, catalogue.Stream, 1, time.Time{})
		is.NoErr(err)
		_, err = log.Append(ctx, catalogue.Stream, page.Records[0].Data)
		is.NoErr(err)
		done, err := p.Publish(ctx, desiredWorkspace("islaget", 2))
		is.NoErr(err)
		is.Equal(done.Offset, uint64(3))
		is.Equal(p.Table().View().History()[1].Offset, uint64(3))
	})
	inBubble(t, "outageLongerThanDeadline", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.Cut(true)
		_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		is.True(errors.Is(err, ErrUnknown))
	})
	inBubble(t, "outageShorterThanDeadline", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.Cut(true)
		time.AfterFunc(30*time.Second, func() { log.Cut(false) })
		_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		is.NoErr(err)
	})
	inBubble(t, "concurrentOperatorsConflict", func(ctx context.Context, is *is.I, log *logtest.Link) {
		log.BeforeAppend(func() {
			_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 7))
			is.NoErr(err)
		})
		_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeConflict)
	})
	inBubble(t, "repeatIsNotAppended", func(ctx context.Context, is *is.I, log *logtest.Link) {
		for range 3 {
			done, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
			is.NoErr(err)
			is.Equal(done.Offset, uint64(1))
		}
		is.Equal(log.Log.(*logtest.Log).Head(catalogue.Stream), uint64(1))
	})
	inBubble(t, "sameChangeIDAfterLaterChanges", func(ctx context.Context, is *is.I, log *logtest.Link) {
		first := desiredWorkspace("islaget", 1)
		first.ChangeID = "first"
		for _, w := range []*DesiredState{first, desiredWorkspace("islaget", 2), first} {
			_, err := New(log, catalogue.Rules{}).Publish(ctx, w)
			is.NoErr(err)
		}
		is.Equal(log.Log.(*logtest.Log).Head(catalogue.Stream), uint64(2))
	})
	inBubble(t, "reusedChangeIDConflicts", func(ctx context.Context, is *is.I, log *logtest.Link) {
		first, second := desiredWorkspace("islaget", 1), desiredWorkspace("islaget", 2)
		first.ChangeID, second.ChangeID = "same", "same"
		_, err := New(log, catalogue.Rules{}).Publish(ctx, first)
		is.NoErr(err)
		_, err = New(log, catalogue.Rules{}).Publish(ctx, second)
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeConflict)
	})
	inBubble(t, "invalidIsNotAppended", func(ctx context.Context, is *is.I, log *logtest.Link) {
		_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("islaget", 1))
		is.NoErr(err)
		other := desiredWorkspace("islaget", 1)
		other.Workspace.Name, other.Subject.Name = "anglers", "anglers"
		_, err = New(log, catalogue.Rules{}).Publish(ctx, other)
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeInvalid)
		is.Equal(log.Log.(*logtest.Log).Head(catalogue.Stream), uint64(1))
	})
	inBubble(t, "notTheOwner", func(ctx context.Context, is *is.I, log *logtest.Link) {
		_, err := New(log, catalogue.Rules{}).Publish(ctx, desiredWorkspace("gyeongsan", 1))
		refused, ok := errors.AsType[*RefusedError](err)
		is.True(ok)
		is.Equal(refused.Verdict.Outcome, catalogue.OutcomeNotOwner)
	})
}
