package main

import (
	"fmt"
	"os"
	"text/tabwriter"

	"dogwooddyke/state/catalogue"
)

// listCommand prints all entries and workspaces.
type listCommand struct {
	catalogueOptions
	JSON bool `long:"json" description:"print JSON, for scripts"`
}

// listed is the catalogue as JSON.
type listed struct {
	Revision   uint64                 `json:"revision"`
	Offset     uint64                 `json:"offset"`
	Digest     string                 `json:"digest"`
	Entries    []*catalogue.Entry     `json:"entries"`
	Workspaces []*catalogue.Workspace `json:"workspaces"`
}

// Execute runs the command.
func (c *listCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	view, err := c.read()
	if err != nil {
		return err
	}
	if c.JSON {
		return printJSON(listed{
			Revision: view.Revision, Offset: view.Offset, Digest: view.Digest,
			Entries: view.Entries(), Workspaces: view.AllWorkspaces(),
		})
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "KIND\tNAME\tOWNER\tREVISION\tCLASS\tENDPOINTS\tMODEL")
	for _, e := range view.Entries() {
		revision := view.RevisionOf(catalogue.Subject{Kind: catalogue.SubjectEntry, Name: e.Name})
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\t%d\t%s %s\n", e.Kind, e.Name, e.Owner, revision, e.Class, len(e.Endpoints), e.Model, e.Version)
	}
	for _, x := range view.AllWorkspaces() {
		revision := view.RevisionOf(catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: x.Name})
		fmt.Fprintf(w, "workspace\t%s\t%s\t%d\t\t\t\n", x.Name, x.Owner, revision)
	}
	fmt.Fprintf(w, "\ncatalogue revision %d, log offset %d, digest %s\n", view.Revision, view.Offset, view.Digest)
	return w.Flush()
}
