package main

import (
	"errors"
	"fmt"
	"net/netip"
	"strings"
	"time"

	"dogwooddyke/state/catalogue"
)

// awaitInterval is the time between two rounds of questions to the instances.
const awaitInterval = 100 * time.Millisecond

// errRules reports instances that folded the same records to another catalogue.
var errRules = errors.New("the instances fold the log by other rules; is --operatorKeys as in their settings?")

// awaited follows where a change is in force.
type awaited struct {
	offset  uint64
	urls    []string
	inForce map[netip.AddrPort]time.Duration
	live    map[netip.AddrPort]bool // as the instances that answered last know it
	answers []answered
}

func newAwaited(urls []string, offset uint64) *awaited {
	return &awaited{offset: offset, urls: urls, inForce: map[netip.AddrPort]time.Duration{}}
}

// take notes one round of answers and prints each instance once it has the change.
func (a *awaited) take(answers []answered, start time.Time) {
	a.answers = answers
	a.live = map[netip.AddrPort]bool{}
	for _, x := range answers {
		if x.err != nil {
			continue
		}
		if x.status.State != stateDraining {
			a.live[x.status.Address] = true
		}
		for _, m := range x.status.Members {
			a.live[m] = true
		}
		if x.status.State == stateStarting || x.status.CatalogueOffset < a.offset {
			continue
		}
		if _, known := a.inForce[x.status.Address]; !known {
			a.inForce[x.status.Address] = time.Since(start)
			fmt.Printf("  %s %s: in force after %s\n", x.status.Address, x.status.DataCentre, since(start))
		}
	}
}

// States of an instance as it tells them.
const (
	stateStarting = "starting"
	stateDraining = "draining"
)

// done tells whether each live instance has the change; nobody's answer shows nothing.
func (a *awaited) done() bool {
	for m := range a.live {
		if _, ok := a.inForce[m]; !ok {
			return false
		}
	}
	return len(a.live) > 0
}

// differs compares catalogues at the same offset.
func (a *awaited) differs(view *catalogue.View) error {
	for _, x := range a.answers {
		if x.err == nil && x.status.CatalogueOffset == view.Offset && x.status.CatalogueDigest != view.Digest {
			return errRules
		}
	}
	return nil
}

func (a *awaited) missing() string {
	var names []string
	for m := range a.live {
		if _, ok := a.inForce[m]; !ok {
			names = append(names, m.String())
		}
	}
	if len(names) == 0 {
		return "no instance answers"
	}
	return strings.Join(names, ", ")
}
