package control

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"dogwooddyke/state/catalogue"
)

// subjectCount is the number of entries and workspaces that operators change.
const subjectCount = entryCount + workspaceCount

// revisions holds each subject's revision; 0: there is none.
type revisions [subjectCount]uint64

func revisionsOf(view *catalogue.View) revisions {
	var r revisions
	for n := range r {
		r[n] = view.RevisionOf(subjectOf(n))
	}
	return r
}

// subjectNames saves the watches from making the names anew.
var subjectNames = newSubjectNames()

func newSubjectNames() [subjectCount]catalogue.Subject {
	var all [subjectCount]catalogue.Subject
	for n := range all {
		if n < entryCount {
			all[n] = catalogue.Subject{Kind: catalogue.SubjectEntry, Name: entryName(n)}
			continue
		}
		all[n] = catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: workspaceName(n - entryCount)}
	}
	return all
}

func subjectOf(number int) catalogue.Subject { return subjectNames[number] }

func entryName(number int) string { return fmt.Sprintf("entry%d", number) }

func workspaceName(number int) string { return fmt.Sprintf("workspace%d", number) }

func workspaceKey(name string) string { return "key of " + name }

// content returns a change that sets the subject to something new.
func content(number int, random *rand.Rand, engines []netip.AddrPort) catalogue.Change {
	subject := subjectOf(number)
	concurrency := 1 + random.IntN(10_000)
	if subject.Kind == catalogue.SubjectWorkspace {
		return workspaceChange(subject.Name, concurrency)
	}
	return entryChange(number, engines[number*enginesPerEntry:(number+1)*enginesPerEntry], concurrency)
}

func workspaceChange(name string, concurrency int) catalogue.Change {
	hash := sha256.Sum256([]byte(workspaceKey(name)))
	return catalogue.Change{Workspace: &catalogue.Workspace{
		Name: name, Owner: owner, KeyHashes: []string{hex.EncodeToString(hash[:])},
		Limits: catalogue.Limits{Concurrency: concurrency},
	}}
}

func entryChange(number int, engines []netip.AddrPort, concurrency int) catalogue.Change {
	e := &catalogue.Entry{
		Name: entryName(number), Owner: owner, Kind: catalogue.KindEngine, Class: "assessment",
		Limits: catalogue.Limits{Concurrency: concurrency},
		Model:  "model", Version: "1", ChecksFence: true, QueueTimeout: 5 * time.Second, AnswerTimeout: time.Minute,
	}
	for n, a := range engines {
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: a, DataCentre: dataCentres[n%len(dataCentres)]})
	}
	return catalogue.Change{Entry: e}
}
