package main

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"dogwooddyke/coordination/publication"
	"dogwooddyke/state/catalogue"
)

// publishCommand appends changes to the log and waits until they are in force.
type publishCommand struct {
	catalogueOptions
	Operator string `long:"operator" value-name:"NAME" env:"DOGWOODDYKE_OPERATOR" description:"who changes it (default: the file's owner)"`
	Key      string `long:"key" value-name:"FILE" env:"DOGWOODDYKE_KEY" description:"the operator's Ed25519 private key, PKCS #8 in PEM"`
	ChangeID string `long:"changeId" value-name:"ID" description:"id of the change, to repeat one exactly (default: derived from content and base)"`
	Base     int64  `long:"base" value-name:"REVISION" default:"-1" description:"revision that the change replaces (default: the current one)"`
	Remove   string `long:"remove" value-name:"KIND/NAME" description:"remove entry/NAME or workspace/NAME; no files"`
}

// Execute runs the command: each file is one change, in their order.
func (c *publishCommand) Execute(names []string) error {
	wishes, err := c.wishes(names)
	if err != nil {
		return err
	}
	publisher, err := c.open()
	if err != nil {
		return err
	}
	ctx, cancel := c.context()
	defer cancel()
	for _, w := range wishes {
		start := time.Now()
		accepted, err := publisher.Publish(ctx, w)
		if err != nil {
			return publishError(w, err)
		}
		report(w, accepted, start)
		if err := c.await(ctx, publisher, accepted.Offset, start); err != nil {
			return &exitError{exitUnknown, err}
		}
	}
	return nil
}

func (c *publishCommand) wishes(names []string) ([]*publication.DesiredState, error) {
	wishes, err := c.subjects(names)
	if err != nil {
		return nil, err
	}
	if len(wishes) > 1 && (c.ChangeID != "" || c.Base >= 0) {
		return nil, &exitError{exitBadInput, errors.New("--changeId and --base go with one file")}
	}
	for _, w := range wishes {
		w.ChangeID = c.ChangeID
		if c.Base >= 0 {
			base := uint64(c.Base)
			w.Base = &base
		}
		if c.Operator != "" {
			w.Operator = c.Operator
		}
		if w.Operator == "" {
			return nil, &exitError{exitBadInput, errors.New("--operator is needed")}
		}
		if c.Key == "" {
			continue
		}
		if w.Key, err = readPrivateKey(c.Key); err != nil {
			return nil, &exitError{exitBadInput, err}
		}
	}
	return wishes, nil
}

func (c *publishCommand) subjects(names []string) ([]*publication.DesiredState, error) {
	if c.Remove != "" {
		kind, name, ok := strings.Cut(c.Remove, "/")
		subject := catalogue.Subject{Kind: catalogue.SubjectKind(kind), Name: name}
		known := subject.Kind == catalogue.SubjectEntry || subject.Kind == catalogue.SubjectWorkspace
		if !ok || !known || len(names) > 0 {
			return nil, &exitError{exitBadInput, errors.New("--remove takes entry/NAME or workspace/NAME, and no files")}
		}
		return []*publication.DesiredState{{Subject: subject}}, nil
	}
	files, err := readFiles(names)
	if err != nil {
		return nil, err
	}
	wishes := make([]*publication.DesiredState, 0, len(files))
	for _, f := range files {
		w := &publication.DesiredState{Subject: f.Subject(), Entry: f.Entry, Workspace: f.Workspace}
		if f.Entry != nil {
			w.Operator = f.Entry.Owner
		} else {
			w.Operator = f.Workspace.Owner
		}
		wishes = append(wishes, w)
	}
	return wishes, nil
}

// publishError gives a refusal or an unknown outcome its exit code.
func publishError(w *publication.DesiredState, err error) error {
	err = fmt.Errorf("%s %s: %w", w.Subject.Kind, w.Subject.Name, err)
	if errors.Is(err, publication.ErrUnknown) {
		return &exitError{exitUnknown, fmt.Errorf("%w (it is safe to publish the same again)", err)}
	}
	refused, ok := errors.AsType[*publication.RefusedError](err)
	if !ok {
		return err
	}
	switch refused.Verdict.Outcome {
	case catalogue.OutcomeConflict, catalogue.OutcomeStale:
		return &exitError{exitConflict, err}
	}
	return &exitError{exitBadInput, err}
}

func report(w *publication.DesiredState, a publication.Result, start time.Time) {
	if a.AlreadyInForce {
		fmt.Printf("%s %s: already so since revision %d\n", w.Subject.Kind, w.Subject.Name, a.Offset)
		return
	}
	fmt.Printf("%s %s: change %s accepted as revision %d after %s\n", w.Subject.Kind, w.Subject.Name, a.Change, a.Offset, since(start))
}

// await returns once the offset is in force on every instance that was named or that those know as live.
func (c *publishCommand) await(ctx context.Context, p *publication.Publisher, offset uint64, start time.Time) error {
	if len(c.Instances) == 0 {
		fmt.Println("accepted; without --instance or --addresses it is not shown where it is in force")
		return nil
	}
	a := newAwaited(c.Instances, offset)
	for {
		a.take(askAll(ctx, c.Instances), start)
		if err := a.differs(p.Table().View()); err != nil {
			return err
		}
		if a.done() {
			fmt.Printf("in force on all %d live instances after %s\n", len(a.inForce), since(start))
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("accepted as revision %d, but not shown in force everywhere: %s", offset, a.missing())
		case <-time.After(awaitInterval):
		}
	}
}

// since gives a time that people can read.
func since(start time.Time) time.Duration {
	return time.Since(start).Round(time.Millisecond)
}
