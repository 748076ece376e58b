package main

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

func TestWriteResults(t *testing.T) {
	is := is.New(t)
	directory := filepath.Join(t.TempDir(), "absent")
	write := func(page io.Writer) error {
		_, err := fmt.Fprint(page, "text")
		return err
	}
	is.NoErr(writeResults("", "name", 1, write))
	is.NoErr(writeResults(directory, "name", 1, write))
	for _, n := range []string{"name.md", "name.json"} {
		_, err := os.Stat(filepath.Join(directory, n))
		is.NoErr(err)
	}
	is.True(writeResults(directory, "name", 1, func(io.Writer) error { return io.ErrShortWrite }) != nil)
}
