// Command driver-2 plays the scripts of the second review: it starts instances as processes before small stand-ins of the platform, with or without
// the disruption of a case, and checks one rule.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2 // the case couldn't run
)

// cases are the scripts by the name of their folder.
var cases = map[string]func(r *record, trouble bool) (breaks []string, err error){
	"spoilt":  playSpoilt,
	"slashes": playSlashes,
	"promise": playPromise,
	"foreign": playForeign,
	"reborn":  playReborn,
}

// record is the file in which a case notes what was sent, answered and run.
type record struct {
	mutex sync.Mutex
	file  *os.File
	began time.Time
}

func (r *record) note(format string, values ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

func main() { os.Exit(run(os.Args[1:])) }

// run plays the case with the given name, and writes its record into the given folder.
func run(arguments []string) int {
	if len(arguments) == 4 && arguments[0] == "generator" {
		return runGenerator(arguments[1], arguments[2], arguments[3])
	}
	if len(arguments) != 2 || cases[arguments[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver-2 CASE FOLDER")
		return exitFailed
	}
	file, err := os.Create(filepath.Join(arguments[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer func() { _ = file.Close() }()
	r := &record{file: file, began: time.Now()}
	trouble := os.Getenv("TROUBLE") != "0"
	r.note("case %s, disruption: %v", arguments[0], trouble)
	breaks, err := cases[arguments[0]](r, trouble)
	if err != nil {
		r.note("could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	for _, b := range breaks {
		r.note("BROKEN %s", b)
	}
	r.note("%d breaks", len(breaks))
	fmt.Printf("%s: %d breaks\n", arguments[0], len(breaks))
	if len(breaks) > 0 {
		return exitBroken
	}
	return exitHeld
}
