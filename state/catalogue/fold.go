package catalogue

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"maps"
	"net/netip"
	"slices"
)

// ErrGap reports a record that does not follow the last one folded.
var ErrGap = errors.New("gap in the catalogue's records")

// ErrStaleSnapshot reports a snapshot that covers no more than what is folded.
var ErrStaleSnapshot = errors.New("snapshot covers no more than the state")

type entryState struct {
	revision uint64
	entry    Entry
}

type workspaceState struct {
	revision  uint64
	workspace Workspace
}

// Fold makes the catalogue from the log's records in their order; it is not safe for concurrent use.
type Fold struct {
	rules      Rules
	bound      int // of remembered ids
	offset     uint64
	revision   uint64
	horizon    uint64
	refused    uint64
	digest     [sha256.Size]byte
	entries    map[string]*entryState
	workspaces map[string]*workspaceState
	keys       map[string]string         // key hash to workspace
	engines    map[netip.AddrPort]string // endpoint to the one entry whose orders it takes
	ids        map[string]ChangeOffset
	order      []ChangeOffset // of ids, oldest first
	history    []Verdict
}

// NewFold returns the fold of an empty log.
func NewFold(rules Rules) *Fold {
	return &Fold{
		rules:      rules,
		bound:      RememberedChanges,
		entries:    map[string]*entryState{},
		workspaces: map[string]*workspaceState{},
		keys:       map[string]string{},
		engines:    map[netip.AddrPort]string{},
		ids:        map[string]ChangeOffset{},
	}
}

// Offset returns the offset of the last folded record.
func (f *Fold) Offset() uint64 { return f.offset }

// Apply folds the next record; the error wraps ErrGap if it is not the next one.
func (f *Fold) Apply(offset uint64, data []byte) (Verdict, error) {
	if offset != f.offset+1 {
		return Verdict{}, fmt.Errorf("%w: record %d after %d", ErrGap, offset, f.offset)
	}
	f.offset = offset
	r, err := Decode(data)
	if err != nil {
		return f.refuse(Verdict{Offset: offset, Outcome: OutcomeUnreadable, Reason: clip(err.Error())}), nil
	}
	if r.Snapshot != nil {
		return Verdict{Offset: offset, Outcome: OutcomeSnapshot}, nil
	}
	return f.change(offset, r.Change), nil
}

func (f *Fold) change(offset uint64, c *Change) Verdict {
	subject, ok := c.Subject()
	v := Verdict{
		Offset:   offset,
		Change:   clip(c.ID),
		Operator: clip(c.Operator),
		Subject:  Subject{Kind: subject.Kind, Name: clip(subject.Name)},
		Removed:  c.Removal != nil,
		Base:     c.Base,
	}
	v.Outcome, v.Reason = f.decide(offset, c, subject, ok)
	switch v.Outcome {
	case OutcomeRepeated:
		return v
	case OutcomeAccepted:
		f.accept(offset, c, subject)
		f.remember(v)
		return v
	}
	return f.refuse(v)
}

// decide reads nothing but the record and the fold, so that it is the same everywhere.
func (f *Fold) decide(offset uint64, c *Change, subject Subject, known bool) (Outcome, string) {
	if !f.rules.Signed(c) {
		return OutcomeUnsigned, "no valid signature of operator " + clip(c.Operator)
	}
	if first, ok := f.ids[c.ID]; ok {
		if content, err := c.content(); err != nil || content != first.Content {
			return OutcomeConflict, fmt.Sprintf("the id is that of another change, accepted at %d", first.Offset)
		}
		return OutcomeRepeated, fmt.Sprintf("accepted at %d", first.Offset)
	}
	if !known {
		return OutcomeInvalid, "names not exactly one entry, workspace or removal"
	}
	if faults := c.validate(); len(faults) > 0 {
		return OutcomeInvalid, clip(faults[0].String())
	}
	if c.Seen < f.horizon || c.Seen >= offset {
		return OutcomeStale, fmt.Sprintf("prepared at %d; only %d to %d can be judged", c.Seen, f.horizon, offset-1)
	}
	revision, owner := f.current(subject)
	if c.Base != revision {
		return OutcomeConflict, fmt.Sprintf("based on %d; current is %d", c.Base, revision)
	}
	if revision == 0 {
		owner = c.owner()
	}
	if revision == 0 && c.Removal != nil {
		return OutcomeConflict, "there is nothing to remove"
	}
	if owner != c.Operator {
		return OutcomeNotOwner, fmt.Sprintf("%s is owned by %s", clip(subject.Name), owner)
	}
	return f.fits(c, revision == 0)
}

// fits checks what depends on the rest of the catalogue.
func (f *Fold) fits(c *Change, added bool) (Outcome, string) {
	if added && c.Entry != nil && len(f.entries) >= MaximumEntries {
		return OutcomeInvalid, "the catalogue holds no more entries"
	}
	if added && c.Workspace != nil && len(f.workspaces) >= MaximumWorkspaces {
		return OutcomeInvalid, "the catalogue holds no more workspaces"
	}
	if c.Entry != nil && c.Entry.Kind == KindEngine {
		for _, p := range c.Entry.Endpoints {
			if other, ok := f.engines[p.Address]; ok && other != c.Entry.Name {
				return OutcomeInvalid, fmt.Sprintf("endpoint %s: takes the orders of entry %s", p.Address, other)
			}
		}
	}
	if c.Workspace != nil {
		for _, h := range c.Workspace.KeyHashes {
			if other, ok := f.keys[h]; ok && other != c.Workspace.Name {
				return OutcomeInvalid, "workspace.keyHashes: a key belongs to another workspace"
			}
		}
	}
	return OutcomeAccepted, ""
}

func (f *Fold) current(subject Subject) (revision uint64, owner string) {
	if subject.Kind == SubjectEntry {
		if s, ok := f.entries[subject.Name]; ok {
			return s.revision, s.entry.Owner
		}
		return 0, ""
	}
	if s, ok := f.workspaces[subject.Name]; ok {
		return s.revision, s.workspace.Owner
	}
	return 0, ""
}

func (f *Fold) accept(offset uint64, c *Change, subject Subject) {
	switch {
	case subject.Kind == SubjectEntry:
		f.setEntry(offset, c.Entry, subject.Name)
	default:
		f.setWorkspace(offset, c.Workspace, subject.Name)
	}
	f.revision = offset
	var position [8]byte
	binary.BigEndian.PutUint64(position[:], offset)
	f.digest = sha256.Sum256(slices.Concat(f.digest[:], position[:], []byte(c.ID)))
	// It was encoded to get here, so it can be encoded again.
	content, _ := c.content()
	accepted := ChangeOffset{ID: c.ID, Offset: offset, Content: content}
	f.ids[c.ID] = accepted
	f.order = append(f.order, accepted)
	if len(f.order) > f.bound {
		f.horizon = f.order[0].Offset
		delete(f.ids, f.order[0].ID)
		f.order = slices.Delete(f.order, 0, 1)
	}
}

// setEntry puts the entry in place of the one of the name, or removes that.
func (f *Fold) setEntry(offset uint64, e *Entry, name string) {
	if old, ok := f.entries[name]; ok && old.entry.Kind == KindEngine {
		for _, p := range old.entry.Endpoints {
			delete(f.engines, p.Address)
		}
	}
	if e == nil {
		delete(f.entries, name)
		return
	}
	f.entries[name] = &entryState{revision: offset, entry: *e}
	if e.Kind != KindEngine {
		return
	}
	for _, p := range e.Endpoints {
		f.engines[p.Address] = name
	}
}

// setWorkspace puts the workspace in place of the one of the name, or removes that.
func (f *Fold) setWorkspace(offset uint64, w *Workspace, name string) {
	if old, ok := f.workspaces[name]; ok {
		for _, h := range old.workspace.KeyHashes {
			delete(f.keys, h)
		}
	}
	if w == nil {
		delete(f.workspaces, name)
		return
	}
	f.workspaces[name] = &workspaceState{revision: offset, workspace: *w}
	for _, h := range w.KeyHashes {
		f.keys[h] = name
	}
}

func (f *Fold) refuse(v Verdict) Verdict {
	f.refused++
	f.remember(v)
	return v
}

func (f *Fold) remember(v Verdict) {
	f.history = append(f.history, v)
	if len(f.history) > RememberedVerdicts {
		f.history = slices.Delete(f.history, 0, 1)
	}
}

// Snapshot returns the whole state, without a seal.
func (f *Fold) Snapshot() *Snapshot {
	s := &Snapshot{
		Covers:   f.offset,
		Revision: f.revision,
		Horizon:  f.horizon,
		Digest:   slices.Clone(f.digest[:]),
		Refused:  f.refused,
		Changes:  slices.Clone(f.order),
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

// Restore takes the snapshot's state; the error wraps ErrStaleSnapshot if it covers no more than what is folded.
func (f *Fold) Restore(s *Snapshot) error {
	if s.Covers <= f.offset {
		return fmt.Errorf("%w: %d, folded %d", ErrStaleSnapshot, s.Covers, f.offset)
	}
	if err := s.check(f.rules); err != nil {
		return err
	}
	next := NewFold(f.rules)
	next.bound = f.bound
	next.offset, next.revision, next.horizon, next.refused = s.Covers, s.Revision, s.Horizon, s.Refused
	copy(next.digest[:], s.Digest)
	for _, e := range s.Entries {
		next.setEntry(e.Revision, &e.Entry, e.Entry.Name)
	}
	for _, w := range s.Workspaces {
		next.setWorkspace(w.Revision, &w.Workspace, w.Workspace.Name)
	}
	next.order = slices.Clone(s.Changes)
	for _, c := range s.Changes {
		next.ids[c.ID] = c
	}
	next.history = slices.Clone(s.History)
	*f = *next
	return nil
}

func (f *Fold) digestName() string {
	return hex.EncodeToString(f.digest[:8])
}
