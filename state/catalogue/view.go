package catalogue

import (
	"crypto/sha256"
	"net/netip"
)

// View is the catalogue at one offset; it never changes, so that a request keeps the one that it began with.
type View struct {
	Offset   uint64 // last folded record
	Revision uint64 // last accepted change
	Digest   string // equal revisions with unequal digests show instances with unequal rules
	Refused  uint64 // changes refused so far

	entries    map[string]*entryState
	workspaces map[string]*workspaceState
	keys       map[[sha256.Size]byte]*Workspace
	leaving    map[netip.AddrPort]bool
	sorted     []*Entry
	history    []Verdict
}

// Entry returns the entry of the name; callers must not change it.
func (v *View) Entry(name string) (*Entry, bool) {
	s, ok := v.entries[name]
	if !ok {
		return nil, false
	}
	return &s.entry, true
}

// Workspace returns the workspace of the name; callers must not change it.
func (v *View) Workspace(name string) (*Workspace, bool) {
	s, ok := v.workspaces[name]
	if !ok {
		return nil, false
	}
	return &s.workspace, true
}

// WorkspaceByKey returns the workspace that has a key with this SHA-256 hash.
func (v *View) WorkspaceByKey(hash [sha256.Size]byte) (*Workspace, bool) {
	w, ok := v.keys[hash]
	return w, ok
}

// Entries returns all entries by name; callers must not change them.
func (v *View) Entries() []*Entry {
	return v.sorted
}

// WorkspaceCount returns how many workspaces there are.
func (v *View) WorkspaceCount() int {
	return len(v.workspaces)
}

// RevisionOf returns the offset of the change that set the subject, or 0 if there is none.
func (v *View) RevisionOf(subject Subject) uint64 {
	if subject.Kind == SubjectWorkspace {
		if s, ok := v.workspaces[subject.Name]; ok {
			return s.revision
		}
		return 0
	}
	if s, ok := v.entries[subject.Name]; ok {
		return s.revision
	}
	return 0
}

// Leaving tells whether an entry marks the endpoint as leaving.
func (v *View) Leaving(endpoint netip.AddrPort) bool {
	return v.leaving[endpoint]
}

// History returns the last verdicts, oldest first.
func (v *View) History() []Verdict {
	return v.history
}

// Allows tells whether the workspace may use the entry.
func (e *Entry) Allows(workspace string) bool {
	if len(e.Workspaces) == 0 {
		return true
	}
	for _, w := range e.Workspaces {
		if w == workspace {
			return true
		}
	}
	return false
}
