package catalogue

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"net/netip"
	"slices"
)

// ErrGap reports a record whose offset does not directly follow that of the last folded record.
var ErrGap = errors.New("gap in the catalogue's records")

// ErrStaleSnapshot reports a snapshot that covers no record beyond those already folded.
var ErrStaleSnapshot = errors.New("snapshot covers no record beyond those folded")

type entryState struct {
	revision uint64
	entry    Entry
}

type workspaceState struct {
	revision  uint64
	workspace Workspace
}

// Fold builds the catalogue by applying the log's records in order; it is not safe for concurrent use.
type Fold struct {
	rules          Rules
	changeLimit    int               // limit on the number of remembered changes
	offset         uint64            // offset of the last folded record
	revision       uint64            // offset of the last accepted change
	horizon        uint64            // offset of the last accepted change whose id is no longer remembered
	refused        uint64            // number of refused changes
	digest         [sha256.Size]byte // hash chained over the accepted changes
	entries        map[string]*entryState
	workspaces     map[string]*workspaceState
	workspaceByKey map[string]string         // workspace's name by key hash
	entryByEngine  map[netip.AddrPort]string // name of the only entry whose orders an engine takes, by the engine's address
	changeByID     map[string]ChangeOffset   // remembered accepted changes
	remembered     []ChangeOffset            // the same changes, oldest first
	history        []Verdict                 // oldest first
}

// NewFold returns a fold to which no record has been applied.
func NewFold(rules Rules) *Fold {
	return &Fold{
		rules:          rules,
		changeLimit:    RememberedChanges,
		entries:        map[string]*entryState{},
		workspaces:     map[string]*workspaceState{},
		workspaceByKey: map[string]string{},
		entryByEngine:  map[netip.AddrPort]string{},
		changeByID:     map[string]ChangeOffset{},
	}
}

// Offset returns the offset of the last folded record.
func (f *Fold) Offset() uint64 { return f.offset }

// Apply folds the next record and returns its verdict; the error wraps ErrGap if the offset is not the next one.
func (f *Fold) Apply(offset uint64, data []byte) (Verdict, error) {
	if offset != f.offset+1 {
		return Verdict{}, fmt.Errorf("%w: record %d after %d", ErrGap, offset, f.offset)
	}
	f.offset = offset
	r, err := Decode(data)
	if err != nil {
		return f.refuse(Verdict{Offset: offset, Outcome: OutcomeUnreadable, Reason: truncate(err.Error())}), nil
	}
	if r.Snapshot != nil {
		return Verdict{Offset: offset, Outcome: OutcomeSnapshot}, nil
	}
	return f.applyChange(offset, r.Change), nil
}

func (f *Fold) applyChange(offset uint64, c *Change) Verdict {
	subject, ok := c.Subject()
	v := Verdict{
		Offset:   offset,
		Change:   truncate(c.ID),
		Operator: truncate(c.Operator),
		Subject:  Subject{Kind: subject.Kind, Name: truncate(subject.Name)},
		Removed:  c.Removal != nil,
		Base:     c.Base,
	}
	v.Outcome, v.Reason = f.decide(offset, c, subject, ok)
	switch v.Outcome {
	case OutcomeRepeated:
		return v
	case OutcomeAccepted:
		f.accept(offset, c, subject)
		f.recordVerdict(v)
		return v
	}
	return f.refuse(v)
}

// decide returns the outcome of the change and its reason. It depends only on the record and the state of the fold, so that all
// instances decide alike.
func (f *Fold) decide(offset uint64, c *Change, subject Subject, known bool) (Outcome, string) {
	if !f.rules.Signed(c) {
		return OutcomeUnsigned, "no valid signature of operator " + truncate(c.Operator)
	}
	if accepted, ok := f.changeByID[c.ID]; ok {
		if content, err := c.contentHash(); err != nil || content != accepted.Content {
			return OutcomeConflict, fmt.Sprintf("the id is that of another change, accepted at %d", accepted.Offset)
		}
		return OutcomeRepeated, fmt.Sprintf("accepted at %d", accepted.Offset)
	}
	if !known {
		return OutcomeInvalid, "names not exactly one entry, workspace or removal"
	}
	if faults := c.validate(); len(faults) > 0 {
		return OutcomeInvalid, truncate(faults[0].String())
	}
	if c.Seen < f.horizon || c.Seen >= offset {
		return OutcomeStale, fmt.Sprintf("prepared at %d; only %d to %d can be judged", c.Seen, f.horizon, offset-1)
	}
	revision, owner := f.currentRevision(subject)
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
		return OutcomeNotOwner, fmt.Sprintf("%s is owned by %s", truncate(subject.Name), owner)
	}
	return f.decideInCatalogue(c, revision == 0)
}

// decideInCatalogue returns the outcome and reason from the checks against the other entries and workspaces: the limits on their
// number, and that no engine or key is used twice.
func (f *Fold) decideInCatalogue(c *Change, added bool) (Outcome, string) {
	if added && c.Entry != nil && len(f.entries) >= MaximumEntries {
		return OutcomeInvalid, "the catalogue holds no more entries"
	}
	if added && c.Workspace != nil && len(f.workspaces) >= MaximumWorkspaces {
		return OutcomeInvalid, "the catalogue holds no more workspaces"
	}
	if c.Entry != nil && c.Entry.Kind == KindEngine {
		for _, p := range c.Entry.Endpoints {
			if other, ok := f.entryByEngine[p.Address]; ok && other != c.Entry.Name {
				return OutcomeInvalid, fmt.Sprintf("endpoint %s: takes the orders of entry %s", p.Address, other)
			}
		}
	}
	if c.Workspace != nil {
		for _, h := range c.Workspace.KeyHashes {
			if other, ok := f.workspaceByKey[h]; ok && other != c.Workspace.Name {
				return OutcomeInvalid, "workspace.keyHashes: a key belongs to another workspace"
			}
		}
	}
	return OutcomeAccepted, ""
}

// currentRevision returns the subject's revision and owner, or 0 and an empty owner if it does not exist.
func (f *Fold) currentRevision(subject Subject) (revision uint64, owner string) {
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
	// The change was decoded from a record, so encoding it again cannot fail.
	content, _ := c.contentHash()
	accepted := ChangeOffset{ID: c.ID, Offset: offset, Content: content}
	f.changeByID[c.ID] = accepted
	f.remembered = append(f.remembered, accepted)
	if len(f.remembered) > f.changeLimit {
		f.horizon = f.remembered[0].Offset
		delete(f.changeByID, f.remembered[0].ID)
		f.remembered = slices.Delete(f.remembered, 0, 1)
	}
}

// setEntry adds or replaces the entry of this name; a nil entry removes it.
func (f *Fold) setEntry(offset uint64, e *Entry, name string) {
	if old, ok := f.entries[name]; ok && old.entry.Kind == KindEngine {
		for _, p := range old.entry.Endpoints {
			delete(f.entryByEngine, p.Address)
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
		f.entryByEngine[p.Address] = name
	}
}

// setWorkspace adds or replaces the workspace of this name; a nil workspace removes it.
func (f *Fold) setWorkspace(offset uint64, w *Workspace, name string) {
	if old, ok := f.workspaces[name]; ok {
		for _, h := range old.workspace.KeyHashes {
			delete(f.workspaceByKey, h)
		}
	}
	if w == nil {
		delete(f.workspaces, name)
		return
	}
	f.workspaces[name] = &workspaceState{revision: offset, workspace: *w}
	for _, h := range w.KeyHashes {
		f.workspaceByKey[h] = name
	}
}

func (f *Fold) refuse(v Verdict) Verdict {
	f.refused++
	f.recordVerdict(v)
	return v
}

func (f *Fold) recordVerdict(v Verdict) {
	f.history = append(f.history, v)
	if len(f.history) > RememberedVerdicts {
		f.history = slices.Delete(f.history, 0, 1)
	}
}

// shortDigest returns the first 8 bytes of the digest in hex.
func (f *Fold) shortDigest() string {
	return hex.EncodeToString(f.digest[:8])
}
