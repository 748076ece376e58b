package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// One short run with a fixed seed, of real processes.
func TestSoak(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	directory := t.TempDir()
	o := &Options{Binary: filepath.Join(directory, "dogwooddyke"), Directory: directory, Seed: 1, Seconds: 12, Instances: 3, Engines: 4, Callers: 8}
	output, err := exec.Command("go", "build", "-o", o.Binary, "dogwooddyke/cmd/dogwooddyke").CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	is.NoErr(o.Check())
	report, err := Run(context.Background(), o)
	is.NoErr(err)
	var shown strings.Builder
	is.NoErr(report.Print(&shown))
	t.Log(shown.String())
	for _, b := range report.Broken {
		t.Log(linesOf(t, directory, b))
	}
	is.Equal(report.Broken, nil)
	is.True(report.Counts[routeLong][outcomeServed] > 0)
	is.True(len(report.Faults) > 0)
}

// linesOf returns what the instances have logged of the request that a broken promise names, and of what they believed.
func linesOf(t *testing.T, directory, broken string) string {
	t.Helper()
	_, rest, _ := strings.Cut(broken, ": ")
	id, _, _ := strings.Cut(rest, " ")
	logs, err := filepath.Glob(filepath.Join(directory, "*.log"))
	is.New(t).NoErr(err)
	var found strings.Builder
	for _, path := range logs {
		data, err := os.ReadFile(path)
		is.New(t).NoErr(err)
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, strconv.Quote(id)) || strings.Contains(line, "rate limit changed") || strings.Contains(line, "endpoint changed") {
				found.WriteString(line)
			}
		}
	}
	return found.String()
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	err := (&Options{Binary: "/does/not/exist", Seconds: 1, Engines: 1}).Check()
	for _, option := range []string{"--binary", "--seconds", "--instances", "--engines", "--callers"} {
		is.True(strings.Contains(err.Error(), option))
	}
}
