package main

import (
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"dogwooddyke/state/catalogue"
)

// historyCommand prints what became of the last changes, refused ones too.
type historyCommand struct {
	catalogueOptions
	JSON    bool `long:"json" description:"print JSON, for scripts"`
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
	verdicts := c.chosen(view, names)
	if c.JSON {
		return printJSON(struct {
			Refused  uint64              `json:"refused"`
			Verdicts []catalogue.Verdict `json:"verdicts"`
		}{view.Refused, verdicts})
	}
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "OFFSET\tOUTCOME\tKIND\tNAME\tOPERATOR\tBASE\tCHANGE\tREASON")
	for _, v := range verdicts {
		reason := v.Reason
		if v.Removed && reason == "" {
			reason = "removed"
		}
		fmt.Fprintf(w, "%d\t%s\t%s\t%s\t%s\t%d\t%s\t%s\n", v.Offset, v.Outcome, v.Subject.Kind, v.Subject.Name, v.Operator, v.Base, v.Change, reason)
	}
	fmt.Fprintf(w, "\n%d refused in all\n", view.Refused)
	return w.Flush()
}

// chosen returns the verdicts that were asked for, oldest first.
func (c *historyCommand) chosen(view *catalogue.View, names []string) []catalogue.Verdict {
	verdicts := []catalogue.Verdict{}
	for _, v := range view.History() {
		if (len(names) == 1 && v.Subject.Name != names[0]) || (c.Refused && !v.Refused()) {
			continue
		}
		verdicts = append(verdicts, v)
	}
	return verdicts
}
