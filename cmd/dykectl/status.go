package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/sourcegraph/conc/iter"

	"dogwooddyke/transport/operator"
)

// errUnreachable reports instances that did not answer.
var errUnreachable = errors.New("some instances did not answer")

// statusCommand prints how the instances are.
type statusCommand struct {
	fleetOptions
	JSON      bool `long:"json" description:"print JSON, for scripts"`
	Endpoints bool `long:"endpoints" description:"also each instance's view of its endpoints"`
}

// answered is what one instance said of itself.
type answered struct {
	url    string
	status operator.Status
	err    error
}

// Execute runs the command.
func (c *statusCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	if err := c.resolve(); err != nil {
		return err
	}
	if len(c.Instances) == 0 {
		return &exitError{exitBadInput, errors.New("--instance or --addresses is needed")}
	}
	ctx, cancel := c.context()
	defer cancel()
	all := askAll(ctx, c.Instances)
	if c.JSON {
		return printStatuses(all)
	}
	return c.print(all)
}

// printStatuses prints each instance's answer as it came, or why there is none.
func printStatuses(all []answered) error {
	type row struct {
		URL    string           `json:"url"`
		Error  string           `json:"error,omitempty"`
		Status *operator.Status `json:"status,omitempty"`
	}
	rows := make([]row, 0, len(all))
	var failure error
	for _, a := range all {
		if a.err != nil {
			rows = append(rows, row{URL: a.url, Error: a.err.Error()})
			failure = &exitError{exitFailed, errUnreachable}
			continue
		}
		rows = append(rows, row{URL: a.url, Status: &a.status})
	}
	return errors.Join(printJSON(rows), failure)
}

func askAll(ctx context.Context, urls []string) []answered {
	return iter.Map(urls, func(url *string) answered {
		status, err := askStatus(ctx, *url)
		return answered{url: *url, status: status, err: err}
	})
}

func (c *statusCommand) print(all []answered) error {
	w := tabwriter.NewWriter(os.Stdout, 0, 8, 2, ' ', 0)
	fmt.Fprintln(w, "INSTANCE\tDATA CENTRE\tSTATE\tCATALOGUE\tREVISION\tOFFSET\tDIGEST\tMEMBERS\tIN FLIGHT\tSTEWARD OF")
	var failure error
	for _, a := range all {
		if a.err != nil {
			fmt.Fprintf(w, "%s\t\tunreachable: %v\n", a.url, a.err)
			failure = &exitError{exitFailed, errUnreachable}
			continue
		}
		s := a.status
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%d\t%s\t%d\t%d\t%v\n", s.Address, s.DataCentre, s.State, s.Catalogue,
			s.CatalogueRevision, s.CatalogueOffset, s.CatalogueDigest, len(s.Members), s.InFlight, s.Partitions)
	}
	printLeases(w, all)
	if c.Endpoints {
		printEndpoints(w, all)
	}
	return errors.Join(w.Flush(), failure)
}

func printLeases(w *tabwriter.Writer, all []answered) {
	fmt.Fprintln(w, "\nENTRY\tLEASEHOLDER\tFENCE\tUNTIL")
	for _, a := range all {
		for _, l := range a.status.Leases {
			if l.Holder == a.status.Address {
				fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", l.Entry, l.Holder, l.Fence, l.Until.Format("15:04:05"))
			}
		}
	}
}

func printEndpoints(w *tabwriter.Writer, all []answered) {
	fmt.Fprintln(w, "\nINSTANCE\tENDPOINT\tRUNNING\tWAITING\tKNEE")
	for _, a := range all {
		for _, e := range a.status.Endpoints {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\n", a.status.Address, e.Address, e.Running, e.Waiting, e.Knee)
		}
	}
}
