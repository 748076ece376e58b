package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"time"

	"dogwooddyke/experiment/capacity"
	"dogwooddyke/experiment/control"
)

// errNotHeld reports a run in which a change was late, was reverted or did not reach all.
var errNotHeld = errors.New("not all changes were in force everywhere in time")

// controlCommand measures what instances spend on agreeing with each other.
type controlCommand struct {
	Traffic   bool    `long:"traffic" description:"measure bytes and processor time at several sizes, in place of convergence"`
	Sizes     []int   `long:"size" value-name:"N" default:"8" default:"16" default:"32" default:"64" description:"with --traffic: instances"`
	Instances int     `long:"instances" value-name:"N" default:"8" description:"instances in the run of convergence"`
	PerSecond float64 `long:"changes" value-name:"N" default:"20" description:"changes published each second"`
	Seconds   float64 `long:"seconds" value-name:"N" default:"60" description:"length of one run"`
	KillEvery float64 `long:"killEvery" value-name:"SECONDS" default:"5" description:"time between two killed and replaced instances"`
	ListLag   float64 `long:"listLag" value-name:"SECONDS" default:"10" description:"lag of the platform's list"`
	Seed      uint64  `long:"seed" value-name:"N" default:"1" description:"seed of the run"`
	Out       string  `long:"out" value-name:"DIR" description:"write the result there"`
}

// targetSize is the number of instances that the design is for.
const targetSize = 1600

// Execute runs the command.
func (c *controlCommand) Execute(arguments []string) error {
	if len(arguments) > 0 || c.PerSecond < 0 || c.Seconds <= 0 || c.KillEvery <= 0 || c.Instances < 2 {
		return &exitError{exitBadInput, errors.New("no arguments, positive times and two instances at least")}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if c.Traffic {
		return c.traffic(ctx)
	}
	r, err := control.Converge(ctx, control.Course{
		Instances: c.Instances, PerSecond: c.PerSecond, Span: seconds(c.Seconds),
		KillEvery: seconds(c.KillEvery), ListLag: seconds(c.ListLag), Seed: c.Seed,
	})
	if err != nil {
		return err
	}
	if err := c.write("convergence.md", r.String()+"\n"); err != nil {
		return err
	}
	if !r.Held() {
		return &exitError{exitFailed, errNotHeld}
	}
	return nil
}

func (c *controlCommand) traffic(ctx context.Context) error {
	var slopes []*capacity.Slope
	for _, p := range control.Probes(c.Sizes, c.PerSecond, seconds(c.Seconds)) {
		s, err := p.Measure(ctx, c.Seed)
		if err != nil {
			return err
		}
		slopes = append(slopes, s)
	}
	return c.write(fmt.Sprintf("control-%g.md", c.PerSecond), control.Table(slopes, targetSize))
}

// write prints the result and keeps it with the command that gave it.
func (c *controlCommand) write(name, text string) error {
	fmt.Print(text)
	if c.Out == "" {
		return nil
	}
	head := fmt.Sprintf("# dykectl %s\n\n%s, seed %d.\n\n", strings.Join(os.Args[1:], " "), time.Now().UTC().Format(time.DateOnly), c.Seed)
	return os.WriteFile(filepath.Join(c.Out, name), []byte(head+text), 0o644)
}

func seconds(n float64) time.Duration { return time.Duration(n * float64(time.Second)) }
