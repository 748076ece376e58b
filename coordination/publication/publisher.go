package publication

import (
	"context"
	"crypto/ed25519"
	"errors"
	"fmt"
	"reflect"
	"time"

	"github.com/cenkalti/backoff/v5"

	"dogwooddyke/coordination/replica"
	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/record"
)

// ErrUnknown reports a change that may or may not come into force; the same change may be published again.
var ErrUnknown = errors.New("outcome unknown")

// RefusedError reports a change that the fold refused, or would refuse.
type RefusedError struct {
	Verdict catalogue.Verdict
}

// Error gives the outcome and the reason.
func (r *RefusedError) Error() string {
	if r.Verdict.Offset == 0 {
		return fmt.Sprintf("not appended: %s: %s", r.Verdict.Outcome, r.Verdict.Reason)
	}
	return fmt.Sprintf("refused at %d: %s: %s", r.Verdict.Offset, r.Verdict.Outcome, r.Verdict.Reason)
}

// DesiredState is what an operator wants the catalogue to say of one subject.
type DesiredState struct {
	Subject   catalogue.Subject
	Entry     *catalogue.Entry
	Workspace *catalogue.Workspace // with neither entry nor workspace the subject is to be removed
	Operator  string
	Key       ed25519.PrivateKey // nil: the change is not signed
	ChangeID  string             // empty: derived from the content and the base
	Base      *uint64            // nil: the current revision
}

// Result tells at which offset the catalogue came to say what was wished.
type Result struct {
	Change         string
	Offset         uint64
	AlreadyInForce bool // nothing was appended, because it was so already
}

// Publisher publishes changes; it is not safe for concurrent use.
type Publisher struct {
	reader replica.Reader
}

// New returns a publisher that folds by the rules.
func New(log record.Log, rules catalogue.Rules) *Publisher {
	return &Publisher{reader: replica.Reader{Table: catalogue.NewTable(rules), Log: log}}
}

// Table returns what the publisher has folded so far.
func (p *Publisher) Table() *catalogue.Table { return p.reader.Table }

// CatchUp reads to the log's head, again and again while the log does not answer.
func (p *Publisher) CatchUp(ctx context.Context) error {
	return retry(ctx, func() error { return p.reader.CatchUp(ctx) })
}

// Publish returns once the change was read back as accepted; the error is a RefusedError or wraps ErrUnknown.
func (p *Publisher) Publish(ctx context.Context, wish *DesiredState) (Result, error) {
	if err := p.CatchUp(ctx); err != nil {
		return Result{}, fmt.Errorf("%w: nothing was appended: %w", ErrUnknown, err)
	}
	change, err := p.change(wish)
	if err != nil {
		return Result{}, err
	}
	if done, ok := p.already(wish, change); ok {
		return done, nil
	}
	// Faults are not worth a record; who wins a race, and who may, the log decides, and history shows it.
	if outcome, reason := p.Table().Judge(change); outcome == catalogue.OutcomeInvalid {
		return Result{}, &RefusedError{Verdict: catalogue.Verdict{Change: change.ID, Outcome: outcome, Reason: reason}}
	}
	data, err := catalogue.Encode(catalogue.Record{Change: change})
	if err != nil {
		return Result{}, err
	}
	return p.append(ctx, change, data)
}

// already finds the change of the wished id, or a catalogue that says what is wished.
func (p *Publisher) already(wish *DesiredState, c *catalogue.Change) (Result, bool) {
	if offset, ok := p.Table().Accepted(c); ok {
		return Result{Change: c.ID, Offset: offset, AlreadyInForce: true}, true
	}
	if wish.Base != nil || wish.ChangeID != "" {
		return Result{}, false
	}
	view := p.Table().View()
	done := Result{Offset: view.RevisionOf(wish.Subject), AlreadyInForce: true}
	switch {
	case wish.Entry != nil:
		e, ok := view.Entry(wish.Subject.Name)
		return done, ok && reflect.DeepEqual(e, wish.Entry)
	case wish.Workspace != nil:
		w, ok := view.Workspace(wish.Subject.Name)
		return done, ok && reflect.DeepEqual(w, wish.Workspace)
	}
	return done, done.Offset == 0
}

func (p *Publisher) change(wish *DesiredState) (*catalogue.Change, error) {
	view := p.Table().View()
	c := &catalogue.Change{
		ID:        wish.ChangeID,
		Operator:  wish.Operator,
		Base:      view.RevisionOf(wish.Subject),
		Seen:      view.Offset,
		Entry:     wish.Entry,
		Workspace: wish.Workspace,
	}
	if wish.Entry == nil && wish.Workspace == nil {
		c.Removal = &wish.Subject
	}
	if wish.Base != nil {
		c.Base = *wish.Base
	}
	if c.ID == "" {
		id, err := c.DeriveID()
		if err != nil {
			return nil, err
		}
		c.ID = id
		p.renew(wish, c)
	}
	if wish.Key == nil {
		return c, nil
	}
	return c, c.Sign(wish.Key)
}

// renew gives the addition of a subject that was removed another id than its former addition had, as both say the same on the
// same base; a repeat of the command finds the same id again.
func (p *Publisher) renew(wish *DesiredState, c *catalogue.Change) {
	if wish.Base != nil || c.Base != 0 || c.Removal != nil {
		return
	}
	derived := c.ID
	for {
		former, ok := p.Table().Accepted(c)
		if !ok {
			return
		}
		c.ID = fmt.Sprintf("%s.%d", derived, former)
	}
}

// append repeats the same bytes until they are read back; the fold takes only the first copy.
func (p *Publisher) append(ctx context.Context, c *catalogue.Change, data []byte) (Result, error) {
	var verdict catalogue.Verdict
	err := retry(ctx, func() error {
		limited, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, failure := p.reader.Log.Append(limited, catalogue.Stream, data)
		if err := p.reader.CatchUp(ctx); err != nil {
			return err
		}
		v, ok := p.find(c)
		if !ok {
			return errors.Join(errNotThere, failure)
		}
		verdict = v
		return nil
	})
	switch {
	case err != nil:
		return Result{}, fmt.Errorf("%w: change %s: %w", ErrUnknown, c.ID, err)
	case verdict.Refused():
		return Result{}, &RefusedError{Verdict: verdict}
	}
	return Result{Change: c.ID, Offset: verdict.Offset}, nil
}

// find returns what the fold made of the change: accepted once counts more than any refusal of another copy.
func (p *Publisher) find(c *catalogue.Change) (catalogue.Verdict, bool) {
	if offset, ok := p.Table().Accepted(c); ok {
		return catalogue.Verdict{Offset: offset, Change: c.ID, Outcome: catalogue.OutcomeAccepted}, true
	}
	for _, v := range p.Table().View().History() {
		if v.Change == c.ID && v.Offset > c.Seen {
			return v, true
		}
	}
	return catalogue.Verdict{}, false
}

// errNotThere reports a change that was not read back yet.
var errNotThere = errors.New("the change is not in the log")

// retry repeats what may succeed later, until the context ends.
func retry(ctx context.Context, attempt func() error) error {
	var last error
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = firstRetry, lastRetry
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		last = attempt()
		if errors.Is(last, replica.ErrNoSnapshot) || errors.Is(last, replica.ErrRegressed) {
			return struct{}{}, backoff.Permanent(last)
		}
		return struct{}{}, last
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && last != nil {
		return last
	}
	return err
}

// Times of the attempts.
const (
	appendTimeout = 5 * time.Second
	firstRetry    = 100 * time.Millisecond
	lastRetry     = 2 * time.Second
)
