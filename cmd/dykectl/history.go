package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"
)

// historyCommand prints what became of the last changes, refused ones too.
type historyCommand struct {
	catalogueOptions
	Refused bool `long:"refused" description:"only changes that were refused"`
}

// Execute runs the command; with a name only the changes of that entry or workspace.
func (c *historyCommand) Execute(names []string) error {
	if len(names) > 1 {
		return &exitError{exitBadInput, errors.New("give one name at most")}
	}
	view, err := c.read()
	if err != nil {
		return err
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tOUTCOME\tKIND\tNAME\tOPERATOR\tBASE\tCHANGE\tREASON")
	for _, v := range view.History() {
		if (len(names) == 1 && v.Subject.Name != names[0]) || (c.Refused && !v.Refused()) {
			continue
		}
		reason := v.Reason
		if v.Removed && reason == "" {
			reason = "removed"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.Offset, v.Outcome, v.Subject.Kind, v.Subject.Name, v.Operator, v.Base, v.Change, reason)
	}
	fmt.Fprintf(w, "\n%d refused in all\n", view.Refused)
	return w.Flush()
}
