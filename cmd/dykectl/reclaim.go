package main

import (
	"fmt"
	"os"

	"dogwooddyke/experiment/reclaim"
)

// reclaimCommand compares how runs leave engines that are taken away at short notice.
type reclaimCommand struct {
	Reclaims int       `long:"reclaims" value-name:"N" default:"10000" description:"engines that are taken away"`
	Seed     uint64    `long:"seed" value-name:"N" default:"1" description:"of runs, notices and links"`
	Means    []float64 `long:"runs" value-name:"N" description:"runs at an engine, on average; repeat for several" default:"2" default:"4" default:"6"`
}

// Execute runs the command.
func (c *reclaimCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	if c.Reclaims < 1 {
		return &exitError{exitBadInput, fmt.Errorf("--reclaims: %d is less than 1", c.Reclaims)}
	}
	return reclaim.Print(os.Stdout, reclaim.Run(&reclaim.Options{Reclaims: c.Reclaims, Seed: c.Seed, Means: c.Means}))
}
