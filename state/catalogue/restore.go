package catalogue

import (
	"fmt"
	"maps"
	"slices"
)

// Snapshot returns the whole state of the fold, without an HMAC.
func (f *Fold) Snapshot() *Snapshot {
	s := &Snapshot{
		Covers:   f.offset,
		Revision: f.revision,
		Horizon:  f.horizon,
		Digest:   slices.Clone(f.digest[:]),
		Refused:  f.refused,
		Changes:  slices.Clone(f.remembered),
		History:  slices.Clone(f.history),
	}
	for _, n := range slices.Sorted(maps.Keys(f.entries)) {
		s.Entries = append(s.Entries, EntryRevision{Revision: f.entries[n].revision, Entry: f.entries[n].entry})
	}
	for _, n := range slices.Sorted(maps.Keys(f.workspaces)) {
		w := f.workspaces[n]
		s.Workspaces = append(s.Workspaces, WorkspaceRevision{Revision: w.revision, Workspace: w.workspace})
	}
	return s
}

// Restore replaces the fold's state by the snapshot's; the error wraps ErrStaleSnapshot if the snapshot covers no record beyond those
// folded, and ErrInvalidSnapshot if its HMAC or content is not valid.
func (f *Fold) Restore(s *Snapshot) error {
	if s.Covers <= f.offset {
		return fmt.Errorf("%w: it covers records up to %d, folded up to %d", ErrStaleSnapshot, s.Covers, f.offset)
	}
	if err := s.check(f.rules); err != nil {
		return err
	}
	next := NewFold(f.rules)
	next.changeLimit = f.changeLimit
	next.offset, next.revision, next.horizon, next.refused = s.Covers, s.Revision, s.Horizon, s.Refused
	copy(next.digest[:], s.Digest)
	for _, e := range s.Entries {
		next.setEntry(e.Revision, &e.Entry, e.Entry.Name)
	}
	for _, w := range s.Workspaces {
		next.setWorkspace(w.Revision, &w.Workspace, w.Workspace.Name)
	}
	next.remembered = slices.Clone(s.Changes)
	for _, c := range s.Changes {
		next.changeByID[c.ID] = c
	}
	next.history = slices.Clone(s.History)
	*f = *next
	return nil
}
