// Command dykectl is the command of operators and experimenters.
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/jessevdk/go-flags"
)

// Exit codes of all commands.
const (
	exitDone     = 0
	exitFailed   = 1
	exitBadInput = 2
	exitConflict = 3
	exitUnknown  = 4
)

// exitError carries the exit code of a command that failed.
type exitError struct {
	code int
	err  error
}

// Error gives the reason.
func (e *exitError) Error() string { return e.err.Error() }

// Unwrap gives the cause.
func (e *exitError) Unwrap() error { return e.err }

// command is one word of the command line; data has a go-flags Execute method.
type command struct {
	name  string
	short string
	long  string
	data  any
}

func commands() []command {
	return []command{
		{"control", "Measure how catalogue changes take hold while instances come and go", "Starts stand-ins and instances on loopback ports, publishes racing changes while instances are killed, drained and replaced, and checks that each accepted change takes hold everywhere in time and stays.", &controlCommand{}},
		{"demo", "Run stand-ins and instances in one process and check what must hold", "Starts stand-ins and instances on loopback ports, sends the traffic of both deployments while things fail, and prints a table and the checks that held.", &demoCommand{}},
		{"explain", "Show what the fleet decided for a request, and why", "Asks one instance, which asks the others, for the decisions that are kept of a request.", &explainCommand{}},
		{"load", "Send traffic to instances and check every answer", "Sends open-loop, seeded traffic in the shape of a profile and checks every token of every answer against stand-in engines.", &loadCommand{}},
		{"standin", "Run a stand-in of an endpoint or of the platform", standinLong, &standinCommand{}},
	}
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(arguments []string) int {
	parser := flags.NewNamedParser("dykectl", flags.HelpFlag|flags.PassDoubleDash)
	for _, c := range commands() {
		if _, err := parser.AddCommand(c.name, c.short, c.long, c.data); err != nil {
			fmt.Fprintln(os.Stderr, "dykectl:", err)
			return exitFailed
		}
	}
	_, err := parser.ParseArgs(arguments)
	return exitCode(err)
}

func exitCode(err error) int {
	if err == nil {
		return exitDone
	}
	if help, ok := errors.AsType[*flags.Error](err); ok {
		if help.Type == flags.ErrHelp {
			fmt.Println(help.Message)
			return exitDone
		}
		fmt.Fprintln(os.Stderr, "dykectl:", help.Message)
		return exitBadInput
	}
	fmt.Fprintln(os.Stderr, "dykectl:", err)
	if exit, ok := errors.AsType[*exitError](err); ok {
		return exit.code
	}
	return exitFailed
}
