package main

import (
	"errors"
	"io"
	"os"
	"path/filepath"

	"github.com/samber/oops"
)

// writeResults writes a report as NAME.md and NAME.json to a directory, which is made if need be; without a directory it does nothing.
func writeResults(directory, name string, report any, write func(io.Writer) error) (err error) {
	if directory == "" {
		return nil
	}
	if err := os.MkdirAll(directory, 0o755); err != nil {
		return oops.Wrapf(err, "results")
	}
	page, err := os.Create(filepath.Join(directory, name+".md"))
	if err != nil {
		return oops.Wrapf(err, "results")
	}
	defer func() { err = errors.Join(err, page.Close()) }()
	if err := write(page); err != nil {
		return oops.Wrapf(err, "results")
	}
	return writeJSON(filepath.Join(directory, name+".json"), report)
}
