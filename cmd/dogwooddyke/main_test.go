package main

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// assertExit checks the exit code of a command line.
func assertExit(t *testing.T, want int, arguments ...string) {
	t.Helper()
	is := is.New(t)
	is.Equal(run(arguments), want)
}

func TestCommandLine(t *testing.T) {
	t.Run("help", func(t *testing.T) { assertExit(t, exitDone, "--help") })
	t.Run("noSettings", func(t *testing.T) { assertExit(t, exitBadInput) })
	t.Run("unknownFlag", func(t *testing.T) { assertExit(t, exitBadInput, "--nothing") })
	t.Run("noSuchFile", func(t *testing.T) {
		assertExit(t, exitBadInput, "--checkSettings", "--settings", filepath.Join(t.TempDir(), "none.ini"))
	})
	t.Run("faults", func(t *testing.T) {
		is := is.New(t)
		file := filepath.Join(t.TempDir(), "bad.ini")
		is.NoErr(os.WriteFile(file, []byte("[instance]\ntypo = 1\n"), 0o600))
		assertExit(t, exitBadInput, "--checkSettings", "--settings", file)
	})
	t.Run("examples", func(t *testing.T) {
		is := is.New(t)
		files, err := filepath.Glob("../../docs/examples/instance-*.ini")
		is.NoErr(err)
		is.Equal(len(files), 2)
		for _, f := range files {
			assertExit(t, exitDone, "--checkSettings", "--settings", f)
		}
	})
}
