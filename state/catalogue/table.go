package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"dogwooddyke/state/record"
)

// Table is the catalogue that an instance uses to serve requests; reading the current view takes no lock.
type Table struct {
	mutex sync.Mutex // guards fold; no other lock is taken while it is held
	fold  *Fold
	view  atomic.Pointer[View]
}

// NewTable returns an empty catalogue.
func NewTable(rules Rules) *Table {
	t := &Table{fold: NewFold(rules)}
	t.view.Store(newView(t.fold))
	return t
}

// View returns the current state of the catalogue.
func (t *Table) View() *View { return t.view.Load() }

// Offset returns the offset of the last folded record.
func (t *Table) Offset() uint64 { return t.View().Offset }

// Leaving reports whether an entry marks the endpoint as leaving.
func (t *Table) Leaving(endpoint netip.AddrPort) bool { return t.View().Leaving(endpoint) }

// Apply folds one record, unless it is folded already; the error wraps ErrGap if a record before it is missing.
func (t *Table) Apply(r record.Record) error {
	_, err := t.ApplyAll([]record.Record{r})
	return err
}

// ApplyAll folds the records that are not folded yet, publishes a view once after all of them, and returns the verdicts of those
// folded; the error wraps ErrGap if a record is missing.
func (t *Table) ApplyAll(rs []record.Record) ([]Verdict, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	before := t.fold.Offset()
	var verdicts []Verdict
	var failure error
	for _, r := range rs {
		if r.Offset <= t.fold.Offset() {
			continue
		}
		v, err := t.fold.Apply(r.Offset, r.Data)
		if err != nil {
			failure = err
			break
		}
		verdicts = append(verdicts, v)
	}
	if t.fold.Offset() != before {
		t.view.Store(newView(t.fold))
	}
	return verdicts, failure
}

// Restore replaces the state by that of a snapshot that covers later records; the errors are those of Fold.Restore.
func (t *Table) Restore(s *Snapshot) error {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if err := t.fold.Restore(s); err != nil {
		return err
	}
	t.view.Store(newView(t.fold))
	return nil
}

// Snapshot returns the state with its HMAC, or without one if the rules have no snapshot key.
func (t *Table) Snapshot() (*Snapshot, error) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	s := t.fold.Snapshot()
	if len(t.fold.rules.SnapshotKey) == 0 {
		return s, nil
	}
	return s, s.Authenticate(t.fold.rules.SnapshotKey)
}

// SetSnapshotKeys replaces the HMAC keys of snapshots; new snapshots use the first key. The operators' keys cannot be replaced while
// the table is in use, since all instances must decide on each change alike.
func (t *Table) SetSnapshotKeys(keys [][]byte) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.fold.rules.SnapshotKey, t.fold.rules.FormerSnapshotKeys = nil, nil
	if len(keys) > 0 {
		t.fold.rules.SnapshotKey, t.fold.rules.FormerSnapshotKeys = keys[0], keys[1:]
	}
}

func newView(f *Fold) *View {
	v := &View{
		Offset:         f.offset,
		Revision:       f.revision,
		Digest:         f.shortDigest(),
		Refused:        f.refused,
		entries:        make(map[string]*entryState, len(f.entries)),
		workspaces:     make(map[string]*workspaceState, len(f.workspaces)),
		workspaceByKey: make(map[[sha256.Size]byte]*Workspace, len(f.workspaceByKey)),
		leaving:        map[netip.AddrPort]bool{},
		history:        slices.Clone(f.history),
	}
	for n, s := range f.entries {
		v.entries[n] = s
		v.sortedEntries = append(v.sortedEntries, &s.entry)
		for _, p := range s.entry.Endpoints {
			if p.Leaving {
				v.leaving[p.Address] = true
			}
		}
	}
	for n, s := range f.workspaces {
		v.workspaces[n] = s
		for _, h := range s.workspace.KeyHashes {
			v.workspaceByKey[decodeKeyHash(h)] = &s.workspace
		}
	}
	slices.SortFunc(v.sortedEntries, func(a, b *Entry) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// decodeKeyHash returns the hash from its hex digits, or all zeros if they do not decode.
func decodeKeyHash(text string) [sha256.Size]byte {
	var hash [sha256.Size]byte
	if raw, err := hex.DecodeString(text); err == nil {
		copy(hash[:], raw)
	}
	return hash
}

// Check returns nil if the snapshot is valid under the table's rules, or else an error that wraps ErrInvalidSnapshot.
func (t *Table) Check(s *Snapshot) error {
	t.mutex.Lock()
	rules := t.fold.rules
	t.mutex.Unlock()
	return s.check(rules)
}

// Accepted returns the offset at which the remembered change with this id was accepted, or 0 if there is none, and reports whether that
// change has the same content.
func (t *Table) Accepted(c *Change) (uint64, bool) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	accepted, ok := t.fold.changeByID[c.ID]
	if !ok {
		return 0, false
	}
	content, err := c.contentHash()
	return accepted.Offset, err == nil && content == accepted.Content
}

// EngineEntries returns the names of the entries whose engines take orders.
func (t *Table) EngineEntries() []string {
	var names []string
	for _, e := range t.View().Entries() {
		if e.Kind == KindEngine {
			names = append(names, e.Name)
		}
	}
	return names
}

// Evaluate returns the outcome and reason that the change would get if it were the next record; it changes no state.
func (t *Table) Evaluate(c *Change) (Outcome, string) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	subject, known := c.Subject()
	return t.fold.decide(t.fold.offset+1, c, subject, known)
}
