// Driver plays the cases of the review that are scripts: it starts processes of the system by the deploy file's command, and the stand-ins of
// the platform's store, of engines and of clients, all on loopback addresses.
//
//	driver CASE RECORD
//
// It exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 in the environment it leaves out the
// disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2

	longestCase = 115 * time.Second
)

// cases are the scripts, by name; each returns how often the rule was broken.
var cases = map[string]func(w *world) (int, error){
	"truncated":  truncated,
	"unanswered": unanswered,
	"stale":      stale,
	"twice":      twice,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE RECORD")
		os.Exit(exitFailed)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

// play plays a case and returns the exit code.
func play(name, file string) int {
	w, err := newWorld(file, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer w.close()
	timer := time.AfterFunc(longestCase, func() {
		w.record.line("the case takes too long")
		w.close()
		os.Exit(exitFailed)
	})
	defer timer.Stop()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		w.close()
		os.Exit(exitFailed)
	}()
	broken, err := cases[name](w)
	if err != nil {
		w.record.line("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	w.record.line("rule broken: %d times", broken)
	fmt.Printf("%s, disruption %t: rule broken %d times\n", name, w.trouble, broken)
	if broken > 0 {
		return exitBroken
	}
	return exitHeld
}
