package main

import (
	"errors"
	"fmt"
	"os"

	"dogwooddyke/state/catalogue"
)

// errNoFiles reports a command line without files.
var errNoFiles = errors.New("no files given")

// checkCommand reads files and lists their faults.
type checkCommand struct{}

// Execute runs the command.
func (c *checkCommand) Execute(names []string) error {
	files, err := readFiles(names)
	if err != nil {
		return err
	}
	for i, f := range files {
		fmt.Printf("%s: %s %s: valid\n", names[i], f.Subject().Kind, f.Subject().Name)
	}
	return nil
}

// readFiles reads all files and lists the faults of all of them.
func readFiles(names []string) ([]catalogue.File, error) {
	if len(names) == 0 {
		return nil, &exitError{exitBadInput, errNoFiles}
	}
	files := make([]catalogue.File, 0, len(names))
	var faults []error
	for _, n := range names {
		data, err := os.ReadFile(n)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		file, err := catalogue.ParseFile(n, data)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		files = append(files, file)
	}
	if len(faults) > 0 {
		return nil, &exitError{exitBadInput, errors.Join(faults...)}
	}
	return files, nil
}
