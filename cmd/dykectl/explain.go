package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/samber/oops"
)

// Bounds of the answer to one explanation.
const (
	explainTimeout      = 10 * time.Second
	maximumExplainBytes = 4 << 20
)

// explainCommand prints what the fleet decided for a request, and why.
type explainCommand struct {
	Operator   string `long:"operator" required:"true" value-name:"URL" description:"operators' listener of any instance"`
	Positional struct {
		ID string `positional-arg-name:"ID" description:"answer id, as in the header Answer-Id"`
	} `positional-args:"true" required:"true"`
}

// Execute asks one instance, which asks the others.
func (c *explainCommand) Execute([]string) error {
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
