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
		all[n] = catalogue.Subject{Kind: catalogue.SubjectWorkspace, Name: fmt.Sprintf("workspace%d", n-entryCount)}
	}
	return all
}

func subjectOf(number int) catalogue.Subject { return subjectNames[number] }

func entryName(number int) string { return fmt.Sprintf("entry%d", number) }

// content returns a change that sets the subject to something new.
func content(number int, random *rand.Rand, engines []netip.AddrPort) catalogue.Change {
	subject := subjectOf(number)
	limits := catalogue.Limits{Concurrency: 1 + random.IntN(10_000)}
	if subject.Kind == catalogue.SubjectWorkspace {
		hash := sha256.Sum256([]byte("key of " + subject.Name))
		return catalogue.Change{Workspace: &catalogue.Workspace{
			Name: subject.Name, Owner: owner, KeyHashes: []string{hex.EncodeToString(hash[:])}, Limits: limits,
		}}
	}
	e := &catalogue.Entry{
		Name: subject.Name, Owner: owner, Kind: catalogue.KindEngine, Class: "assessment", Limits: limits,
		Model: "model", Version: "1", ChecksFence: true,
		QueueTimeout: 5 * time.Second, AnswerTimeout: time.Minute,
	}
	for n := range enginesPerEntry {
		e.Endpoints = append(e.Endpoints, catalogue.Endpoint{Address: engines[number*enginesPerEntry+n], DataCentre: "a"})
	}
	return catalogue.Change{Entry: e}
}
