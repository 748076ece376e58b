package catalogue

import (
	"crypto/sha256"
	"net/netip"
)

// View is the catalogue at one offset. It is immutable, so a request can use the same view from start to end.
type View struct {
	Offset   uint64 // offset of the last folded record
	Revision uint64 // offset of the last accepted change
	Digest   string // short digest of the accepted changes; it differs at the same revision if instances have different rules
	Refused  uint64 // number of refused changes so far

	entries        map[string]*entryState
	workspaces     map[string]*workspaceState
	workspaceByKey map[[sha256.Size]byte]*Workspace
	leaving        map[netip.AddrPort]bool
	sortedEntries  []*Entry  // sorted by name
	history        []Verdict // oldest first
}

// Entry returns the entry of this name; callers must not modify it.
func (v *View) Entry(name string) (*Entry, bool) {
	s, ok := v.entries[name]
	if !ok {
		return nil, false
	}
	return &s.entry, true
}

// Workspace returns the workspace of this name; callers must not modify it.
func (v *View) Workspace(name string) (*Workspace, bool) {
	s, ok := v.workspaces[name]
	if !ok {
		return nil, false
	}
	return &s.workspace, true
}

// WorkspaceByKey returns the workspace that owns the API key with this SHA-256 hash; callers must not modify it.
func (v *View) WorkspaceByKey(hash [sha256.Size]byte) (*Workspace, bool) {
	w, ok := v.workspaceByKey[hash]
	return w, ok
}

// Entries returns all entries, sorted by name; callers must not modify them.
func (v *View) Entries() []*Entry {
	return v.sortedEntries
}

// WorkspaceCount returns the number of workspaces.
func (v *View) WorkspaceCount() int {
	return len(v.workspaces)
}

// RevisionOf returns the offset of the change that last set the subject, or 0 if the subject does not exist.
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

// Leaving reports whether an entry marks the endpoint as leaving.
func (v *View) Leaving(endpoint netip.AddrPort) bool {
	return v.leaving[endpoint]
}

// History returns the last verdicts, oldest first; callers must not modify them.
func (v *View) History() []Verdict {
	return v.history
}

// Allows reports whether the workspace may use the entry.
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
