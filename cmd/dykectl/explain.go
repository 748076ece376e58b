package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/samber/oops"

	"dogwooddyke/state/explanation"
)

// Bounds of the answer to one explanation.
const (
	explainTimeout      = 10 * time.Second
	maximumExplainBytes = 4 << 20
)

// explainCommand prints what the fleet decided for a request, and why.
type explainCommand struct {
	Operator   string   `long:"operator" value-name:"URL" description:"operators' listener of any instance"`
	Logs       []string `long:"logs" value-name:"FILE" description:"log of an instance, or - for standard input; may be given several times"`
	Positional struct {
		ID string `positional-arg-name:"ID" description:"answer id, as in the header Answer-Id, or the request's id in logs"`
	} `positional-args:"true" required:"true"`
}

// Execute tells the story of a request from logs, or asks one instance, which asks the others.
func (c *explainCommand) Execute([]string) error {
	switch {
	case len(c.Logs) > 0:
		return c.fromLogs(os.Stdout)
	case c.Operator == "":
		return &exitError{exitBadInput, errors.New("one of --operator and --logs is required")}
	default:
		return c.fromInstance()
	}
}

// fromLogs reads the logs and prints the request's story.
func (c *explainCommand) fromLogs(out io.Writer) error {
	log := &explanation.Log{}
	for _, name := range c.Logs {
		if err := readLog(log, name); err != nil {
			return &exitError{exitBadInput, oops.With("log", name).Wrap(err)}
		}
	}
	story := log.Timeline(c.Positional.ID)
	if len(story) == 0 {
		return &exitError{exitBadInput, fmt.Errorf("no line of the logs names %q (%d lines were no log lines)", c.Positional.ID, log.Skipped)}
	}
	return explanation.Write(out, story)
}

func readLog(log *explanation.Log, name string) error {
	if name == "-" {
		return log.Read(os.Stdin)
	}
	file, err := os.Open(name)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	return log.Read(file)
}

func (c *explainCommand) fromInstance() error {
	client := &http.Client{Timeout: explainTimeout}
	response, err := client.Get(c.Operator + "/explain/" + url.PathEscape(c.Positional.ID))
	if err != nil {
		return oops.Wrapf(err, "explain")
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotFound {
		return &exitError{exitBadInput, fmt.Errorf("no instance keeps a decision for %q", c.Positional.ID)}
	}
	if response.StatusCode != http.StatusOK {
		return oops.Errorf("explain: status %d", response.StatusCode)
	}
	_, err = io.Copy(os.Stdout, io.LimitReader(response.Body, maximumExplainBytes))
	return err
}
