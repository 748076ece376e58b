package soak

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// One short run with a fixed seed, of real processes.
func TestSoak(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report := play(t, &Options{Seed: 1, Seconds: 12, Instances: 3, Engines: 4, Callers: 8})
	is.True(report.Counts[routeLong][outcomeServed] > 0)
	is.True(len(report.Faults) > 0)
}

// Instances are stopped in turn, as at an update, while streams longer than their grace period run; no request may be lost.
func TestStopsInSeries(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	report := play(t, &Options{
		Seed: 1, Seconds: 10, Instances: 3, Engines: 4, Callers: 32,
		Planned: &Planned{Stops: 2 * time.Second, Grace: 2 * time.Second, Reclaims: 4 * time.Second, Together: 1, Factor: 0.15},
	})
	is.True(report.Faults[kindStop] >= 2)
	is.True(report.Counts[routeLong][outcomeServed] > 0)
}

// play carries out one run with the binary of this code; no promise may be broken.
func play(t *testing.T, o *Options) *Report {
	t.Helper()
	is := is.New(t)
	o.Directory = t.TempDir()
	o.Binary = filepath.Join(o.Directory, "dogwooddyke")
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
		t.Log(linesOf(t, o.Directory, b))
	}
	is.Equal(report.Broken, nil)
	return report
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
