package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"dogwooddyke/experiment/bench"
)

// benchCommand compares policies of routing in synthetic time.
type benchCommand struct {
	Out         string    `long:"out" description:"directory for the page and the plots; without it the page goes to the standard output"`
	Deployments []string  `long:"deployment" description:"deployment; repeat for several" default:"islaget" default:"gyeongsan"`
	Policies    []string  `long:"policy" description:"policy; repeat for several"`
	Loads       []float64 `long:"load" description:"load as a part of capacity, without faults; replaces the usual scenarios"`
	Fault       string    `long:"fault" description:"fault in the middle, for --load"`
	Burst       bool      `long:"burst" description:"arrivals in bursts, for --load"`
	Lag         float64   `long:"lag" description:"seconds of lag of the load reports, for --load" default:"1"`
	Seconds     int       `long:"seconds" description:"synthetic time of a run" default:"300"`
	Seeds       []uint64  `long:"seed" description:"seed; repeat for several" default:"1" default:"2"`
	Workers     int       `long:"workers" description:"runs at the same time" default:"4"`
}

// Execute runs the comparison.
func (c *benchCommand) Execute([]string) error {
	suite := c.suite()
	groups, err := suite.Run()
	if err != nil {
		return &exitError{code: exitBadInput, err: err}
	}
	command := strings.Join(append([]string{"dykectl"}, os.Args[1:]...), " ")
	date := time.Now().UTC().Format(time.DateOnly)
	if c.Out == "" {
		bench.Report(os.Stdout, suite, groups, command, date)
		return nil
	}
	return c.write(suite, groups, command, date)
}

func (c *benchCommand) suite() *bench.Suite {
	suite := &bench.Suite{
		Deployments: c.Deployments,
		Policies:    c.Policies,
		Scenarios:   bench.Scenarios(),
		Span:        time.Duration(c.Seconds) * time.Second,
		Seeds:       c.Seeds,
		Workers:     c.Workers,
	}
	if len(c.Policies) == 0 {
		suite.Policies = bench.Policies()
	}
	if len(c.Loads) > 0 {
		suite.Scenarios = nil
	}
	for _, load := range c.Loads {
		lag := time.Duration(c.Lag * float64(time.Second))
		suite.Scenarios = append(suite.Scenarios, bench.Scenario{Load: load, Lag: lag, Burst: c.Burst, Fault: bench.Fault(c.Fault)})
	}
	return suite
}

func (c *benchCommand) write(suite *bench.Suite, groups []bench.Group, command, date string) error {
	if err := os.MkdirAll(c.Out, 0o755); err != nil {
		return err
	}
	page, err := os.Create(filepath.Join(c.Out, "crowd.md"))
	if err != nil {
		return err
	}
	defer page.Close()
	bench.Report(page, suite, groups, command, date)
	fmt.Println("written:", page.Name())
	if err := page.Sync(); err != nil {
		return err
	}
	return bench.Plots(c.Out, suite, groups)
}
