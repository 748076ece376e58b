package soak

import (
	"context"
	"os/exec"
	"path/filepath"
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
	is.Equal(report.Broken, nil)
	is.True(report.Counts[routeLong][outcomeServed] > 0)
	is.True(len(report.Faults) > 0)
}

func TestCheck(t *testing.T) {
	is := is.New(t)
	err := (&Options{Binary: "/does/not/exist", Seconds: 1, Engines: 1}).Check()
	for _, option := range []string{"--binary", "--seconds", "--instances", "--engines", "--callers"} {
		is.True(strings.Contains(err.Error(), option))
	}
}
