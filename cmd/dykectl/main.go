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
		{"cost", "Measure what control costs each instance at several sizes", "Starts fleets of several sizes before stand-ins in another process and measures control traffic by kind, processor time and memory of each instance.", &costCommand{}},
		{"demo", "Run stand-ins and instances in one process and check what must hold", "Starts stand-ins and instances on loopback ports, sends the traffic of both deployments while things fail, and prints a table and the checks that held.", &demoCommand{}},
		{"explain", "Show what the fleet decided for a request, and why", "Asks one instance, which asks the others, for the decisions that are kept of a request.", &explainCommand{}},
		{"load", "Send traffic to instances and check every answer", "Sends open-loop, seeded traffic in the shape of a profile and checks every token of every answer against stand-in engines.", &loadCommand{}},
		{"publish", "Publish changes of the catalogue", "Checks the files whole, appends one change for each and waits until it is in force. Exit codes: 0 in force, 2 bad input, 3 conflict, 4 outcome unknown (safe to repeat).", &publishCommand{}},
		{"get", "Print an entry or workspace", "Prints it as a file that can be published again.", &getCommand{}},
		{"list", "List entries and workspaces", "Lists the catalogue at the log's head.", &listCommand{}},
		{"history", "List the last changes", "Lists what became of the last changes, refused ones too.", &historyCommand{}},
		{"check", "Check files without publishing", "Lists every fault with file, section, field and reason; exit code 2 if there is one.", &checkCommand{}},
		{"status", "Show instances, leases and endpoints", "Asks the instances' listeners for operators.", &statusCommand{}},
		{"overhead", "Measure what an instance adds to the first token, and its memory", "Sends the same requests to stand-in engines direct, through a naive proxy and through an instance, all in this process, and compares the time to the first token and the memory of open streams.", &overheadCommand{}},
		{"capacity", "Measure what each role costs, and work out the size to design for", "Measures the slopes behind docs/CAPACITY.md afresh and rewrites its tables.", &capacityCommand{}},
		{"standin", "Run a stand-in of an endpoint or of the platform", standinLong, &standinCommand{}},
		{"soak", "Break instances that run as processes, and check that the promises hold", "Starts instances as processes before stand-ins on loopback, kills, stops and freezes them, harms their links, log and engines in overlapping series drawn from a seed, and checks each answer all the while. Exit code 1 if a promise was broken.", &soakCommand{}},
		{"reclaim", "Compare how runs leave engines that are taken away at short notice", "Plays reclaims of engines in synthetic time with the instances' own decisions, beside copying all at once, at foreseen times, and a policy that knows all.", &reclaimCommand{}},
		{"bench", "compare policies of routing", "Compares policies of routing on modelled engines in synthetic time.", &benchCommand{}},
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
