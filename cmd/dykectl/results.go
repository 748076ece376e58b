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

// judged is a report of an experiment that checks what must hold.
type judged interface {
	Table(w io.Writer) error
	Held() bool
}

// conclude shows a report, writes it where the user wants it, and fails if a check did.
func conclude(report judged, jsonFile string, publish func() error) error {
	if err := report.Table(os.Stdout); err != nil {
		return err
	}
	if err := writeJSON(jsonFile, report); err != nil {
		return err
	}
	if err := publish(); err != nil {
		return err
	}
	if !report.Held() {
		return &exitError{exitFailed, errChecks}
	}
	return nil
}
