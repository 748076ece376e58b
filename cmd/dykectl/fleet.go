package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"dogwooddyke/experiment/load"
	"dogwooddyke/transport/operator"
	"dogwooddyke/transport/platform"
)

// Bounds on one question to an instance.
const (
	statusTimeout      = 2 * time.Second
	maximumStatusBytes = 4 << 20
)

// errNoLog reports a command line without the log's address.
var errNoLog = errors.New("--log or --addresses is needed")

// fleetOptions says where the log and the instances are.
type fleetOptions struct {
	Log       string   `long:"log" value-name:"URL" env:"DOGWOODDYKE_LOG" description:"the platform's log"`
	Instances []string `long:"instance" value-name:"URL" env:"DOGWOODDYKE_INSTANCES" env-delim:"," description:"an instance's listener for operators; may be repeated"`
	Addresses string   `long:"addresses" value-name:"FILE" description:"JSON of a held demo, in place of --log and --instance"`
	Timeout   float64  `long:"timeout" value-name:"SECONDS" default:"30" description:"how long to try"`
}

// resolve takes the addresses from the file, if there is one.
func (o *fleetOptions) resolve() error {
	if o.Timeout <= 0 {
		return &exitError{exitBadInput, errors.New("--timeout must be positive")}
	}
	if o.Addresses == "" {
		return nil
	}
	a, err := load.ReadAddresses(o.Addresses)
	if err != nil {
		return &exitError{exitBadInput, err}
	}
	if o.Log == "" {
		o.Log = a.Log
	}
	if len(o.Instances) == 0 {
		o.Instances = a.Operators
	}
	return nil
}

// printJSON writes the value to standard output.
func printJSON(value any) error {
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}

// context ends with the timeout.
func (o *fleetOptions) context() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), time.Duration(o.Timeout*float64(time.Second)))
}

func (o *fleetOptions) log() (*platform.Log, error) {
	if o.Log == "" {
		return nil, &exitError{exitBadInput, errNoLog}
	}
	return platform.NewLog(o.Log, platform.NewClient()), nil
}

// askStatus asks one instance how it is.
func askStatus(ctx context.Context, url string) (operator.Status, error) {
	limited, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	var status operator.Status
	request, err := http.NewRequestWithContext(limited, http.MethodGet, strings.TrimRight(url, "/")+"/status", nil)
	if err != nil {
		return status, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("%s answered %d", url, response.StatusCode)
	}
	return status, json.NewDecoder(io.LimitReader(response.Body, maximumStatusBytes)).Decode(&status)
}
