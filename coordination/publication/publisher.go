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

// ErrUnknown is returned for a change that may or may not come into force; publishing the same change again is safe.
var ErrUnknown = errors.New("outcome unknown")

// RefusedError is returned for a change that the fold refused, or would refuse if it were appended.
type RefusedError struct {
	Verdict catalogue.Verdict // its offset is 0 if the change was not appended
}

// Error returns the outcome and the reason.
func (r *RefusedError) Error() string {
	if r.Verdict.Offset == 0 {
		return fmt.Sprintf("not appended: %s: %s", r.Verdict.Outcome, r.Verdict.Reason)
	}
	return fmt.Sprintf("refused at %d: %s: %s", r.Verdict.Offset, r.Verdict.Outcome, r.Verdict.Reason)
}

// DesiredState is the state of one subject that an operator wants the catalogue to have.
type DesiredState struct {
	Subject   catalogue.Subject
	Entry     *catalogue.Entry
	Workspace *catalogue.Workspace // if both Entry and Workspace are nil, the subject is to be removed
	Operator  string               // name of the operator
	Key       ed25519.PrivateKey   // signs the change; nil if the change is not to be signed
	ChangeID  string               // ID of the change; if empty, it is derived from the content and the base revision
	Base      *uint64              // revision of the subject that the change is based on; nil for the current one
}

// Result describes an accepted change.
type Result struct {
	Change         string // ID of the accepted change; empty if the catalogue had the desired state without it
	Offset         uint64 // log offset at which the catalogue reached the desired state
	AlreadyInForce bool   // whether the state was in force before, so that nothing was appended
}

// Publisher publishes changes of the catalogue; it is not safe for concurrent use.
type Publisher struct {
	reader replica.Reader
}

// New returns a publisher that reads the log and folds it by the rules.
func New(log record.Log, rules catalogue.Rules) *Publisher {
	return &Publisher{reader: replica.Reader{Table: catalogue.NewTable(rules), Log: log}}
}

// Table returns the catalogue table that the publisher has folded so far.
func (p *Publisher) Table() *catalogue.Table { return p.reader.Table }

// CatchUp reads the log up to its head. It retries while the log does not answer, and returns the last error if the context ends or the
// error is permanent.
func (p *Publisher) CatchUp(ctx context.Context) error {
	return retry(ctx, func() error { return p.reader.CatchUp(ctx) })
}

// Publish appends the change that leads to the desired state, and returns once the change is read back as accepted. It returns a
// RefusedError if the change is refused, an error that wraps ErrUnknown if the log can't be read or the outcome is unknown, and another
// error if the change can't be encoded or signed.
func (p *Publisher) Publish(ctx context.Context, desired *DesiredState) (Result, error) {
	if err := p.CatchUp(ctx); err != nil {
		return Result{}, fmt.Errorf("%w: nothing was appended: %w", ErrUnknown, err)
	}
	change, err := p.buildChange(desired)
	if err != nil {
		return Result{}, err
	}
	if result, ok := p.findInForce(desired, change); ok {
		return result, nil
	}
	// An invalid change is refused without a record in the log. Conflicts and missing permissions are decided by the fold of the log, so
	// that its history shows them.
	if outcome, reason := p.Table().Evaluate(change); outcome == catalogue.OutcomeInvalid {
		return Result{}, &RefusedError{Verdict: catalogue.Verdict{Change: change.ID, Outcome: outcome, Reason: reason}}
	}
	data, err := catalogue.Encode(catalogue.Record{Change: change})
	if err != nil {
		return Result{}, err
	}
	return p.append(ctx, change, data)
}

// findInForce returns the earlier result if the same change was accepted before, or if the catalogue already has the desired state and
// neither a base nor a change ID was given.
func (p *Publisher) findInForce(desired *DesiredState, c *catalogue.Change) (Result, bool) {
	if offset, ok := p.Table().Accepted(c); ok {
		return Result{Change: c.ID, Offset: offset, AlreadyInForce: true}, true
	}
	if desired.Base != nil || desired.ChangeID != "" {
		return Result{}, false
	}
	view := p.Table().View()
	result := Result{Offset: view.RevisionOf(desired.Subject), AlreadyInForce: true}
	switch {
	case desired.Entry != nil:
		e, ok := view.Entry(desired.Subject.Name)
		return result, ok && reflect.DeepEqual(e, desired.Entry)
	case desired.Workspace != nil:
		w, ok := view.Workspace(desired.Subject.Name)
		return result, ok && reflect.DeepEqual(w, desired.Workspace)
	}
	return result, result.Offset == 0
}

// buildChange returns the change that leads to the desired state, signed if there is a key.
func (p *Publisher) buildChange(desired *DesiredState) (*catalogue.Change, error) {
	view := p.Table().View()
	c := &catalogue.Change{
		ID:        desired.ChangeID,
		Operator:  desired.Operator,
		Base:      view.RevisionOf(desired.Subject),
		Seen:      view.Offset,
		Entry:     desired.Entry,
		Workspace: desired.Workspace,
	}
	if desired.Entry == nil && desired.Workspace == nil {
		c.Removal = &desired.Subject
	}
	if desired.Base != nil {
		c.Base = *desired.Base
	}
	if c.ID == "" {
		id, err := c.DeriveID()
		if err != nil {
			return nil, err
		}
		c.ID = id
		p.makeIDUnique(desired, c)
	}
	if desired.Key == nil {
		return c, nil
	}
	return c, c.Sign(desired.Key)
}

// makeIDUnique changes the ID of an addition if the subject was added identically before and removed since: content and base are the
// same, so both additions would have the same derived ID. The new ID appends the offset of the former addition, so that a repeat of
// the command finds the same ID again.
func (p *Publisher) makeIDUnique(desired *DesiredState, c *catalogue.Change) {
	if desired.Base != nil || c.Base != 0 || c.Removal != nil {
		return
	}
	derivedID := c.ID
	for {
		formerOffset, ok := p.Table().Accepted(c)
		if !ok {
			return
		}
		c.ID = fmt.Sprintf("%s.%d", derivedID, formerOffset)
	}
}

// append appends the same record repeatedly until it is read back; the fold accepts only the first copy.
func (p *Publisher) append(ctx context.Context, c *catalogue.Change, data []byte) (Result, error) {
	var verdict catalogue.Verdict
	err := retry(ctx, func() error {
		appendContext, cancel := context.WithTimeout(ctx, appendTimeout)
		defer cancel()
		_, appendErr := p.reader.Log.Append(appendContext, catalogue.Stream, data)
		if err := p.reader.CatchUp(ctx); err != nil {
			return err
		}
		v, ok := p.find(c)
		if !ok {
			return errors.Join(errNotAppended, appendErr)
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

// find returns the fold's verdict on the change, and whether there is one; an accepted copy takes precedence over a refused one.
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

// errNotAppended is returned by an attempt after which the change is not in the log that was read back.
var errNotAppended = errors.New("change was not found in the log")

// retry calls attempt with exponential backoff until it succeeds, fails permanently or the context ends. It returns the error of the last
// attempt, or that of the context if no attempt failed.
func retry(ctx context.Context, attempt func() error) error {
	var lastErr error
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval, policy.MaxInterval = minimumRetryDelay, maximumRetryDelay
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		lastErr = attempt()
		if errors.Is(lastErr, replica.ErrNoSnapshot) || errors.Is(lastErr, replica.ErrRegressed) {
			return struct{}{}, backoff.Permanent(lastErr)
		}
		return struct{}{}, lastErr
	}, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && lastErr != nil {
		return lastErr
	}
	return err
}

// Timeout of one append, and bounds of the delay between two attempts.
const (
	appendTimeout     = 5 * time.Second
	minimumRetryDelay = 100 * time.Millisecond
	maximumRetryDelay = 2 * time.Second
)
