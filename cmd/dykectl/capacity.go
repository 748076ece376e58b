package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"

	"dogwooddyke/experiment/capacity"
)

// capacityCommand measures the slopes behind docs/CAPACITY.md.
type capacityCommand struct {
	Out  string `long:"out" value-name:"DIR" description:"rewrite the tables of DIR/CAPACITY.md and DIR/results/capacity.json"`
	From string `long:"from" value-name:"FILE" description:"measure nothing: work out the slopes of an earlier run anew"`
	Seed uint64 `long:"seed" value-name:"N" default:"1" description:"seed of the traffic"`
}

// Execute runs the command.
func (c *capacityCommand) Execute(arguments []string) error {
	if len(arguments) > 0 {
		return &exitError{exitBadInput, fmt.Errorf("unexpected %q", arguments[0])}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	result, err := c.result(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("\nsum of all roles on one node: %.0f bytes/s, %.2f%% of a core, %.1f MB\n",
		result.Sum.Bytes, result.Sum.Processor/1e4, result.Sum.Memory/1e6)
	if c.Out == "" {
		return nil
	}
	return result.Write(c.Out)
}

func (c *capacityCommand) result(ctx context.Context) (*capacity.Result, error) {
	if c.From != "" {
		return capacity.Read(c.From)
	}
	return capacity.Run(ctx, "dykectl "+strings.Join(os.Args[1:], " "), c.Seed, os.Stdout)
}
