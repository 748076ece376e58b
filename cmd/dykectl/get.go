package main

import (
	"errors"
	"fmt"

	"dogwooddyke/state/catalogue"
)

// getCommand prints one entry or workspace as a file that can be published again.
type getCommand struct {
	catalogueOptions
	Workspace bool `long:"workspace" description:"the name is a workspace's"`
}

// Execute runs the command.
func (c *getCommand) Execute(names []string) error {
	if len(names) != 1 {
		return &exitError{exitBadInput, errors.New("give one name")}
	}
	view, err := c.read()
	if err != nil {
		return err
	}
	subject := catalogue.Subject{Kind: catalogue.SubjectEntry, Name: names[0]}
	if c.Workspace {
		subject.Kind = catalogue.SubjectWorkspace
	}
	text, ok := formatSubject(view, subject)
	if !ok {
		return &exitError{exitFailed, fmt.Errorf("there is no %s %s", subject.Kind, subject.Name)}
	}
	fmt.Printf("; revision %d\n%s", view.RevisionOf(subject), text)
	return nil
}

func formatSubject(view *catalogue.View, subject catalogue.Subject) (string, bool) {
	if subject.Kind == catalogue.SubjectWorkspace {
		w, ok := view.Workspace(subject.Name)
		if !ok {
			return "", false
		}
		return catalogue.FormatWorkspace(w), true
	}
	e, ok := view.Entry(subject.Name)
	if !ok {
		return "", false
	}
	return catalogue.FormatEntry(e), true
}
