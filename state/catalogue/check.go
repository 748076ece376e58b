package catalogue

import (
	"crypto/sha256"
	"errors"
	"fmt"
)

// ErrInvalidSnapshot reports a snapshot that no instance of this deployment can have written: its HMAC is wrong or its content is
// not valid.
var ErrInvalidSnapshot = errors.New("snapshot not authentic or not valid")

// validate returns the faults of the change that can be found without the state of the catalogue.
func (c *Change) validate() Faults {
	var faults Faults
	checkName(&faults, "change", "id", c.ID)
	checkName(&faults, "change", "operator", c.Operator)
	switch {
	case c.Entry != nil:
		faults = append(faults, c.Entry.Validate()...)
	case c.Workspace != nil:
		faults = append(faults, c.Workspace.Validate()...)
	default:
		checkName(&faults, "removal", "name", c.Removal.Name)
	}
	return faults
}

func (c *Change) owner() string {
	switch {
	case c.Entry != nil:
		return c.Entry.Owner
	case c.Workspace != nil:
		return c.Workspace.Owner
	}
	return ""
}

// check returns an error that wraps ErrInvalidSnapshot if the snapshot is not authentic, exceeds a limit or has invalid content.
func (s *Snapshot) check(rules Rules) error {
	if !rules.authentic(s) {
		return fmt.Errorf("%w: HMAC does not match", ErrInvalidSnapshot)
	}
	if len(s.Digest) != sha256.Size || s.Revision > s.Covers || s.Horizon > s.Covers {
		return fmt.Errorf("%w: offsets or digest are out of range", ErrInvalidSnapshot)
	}
	if len(s.Entries) > MaximumEntries || len(s.Workspaces) > MaximumWorkspaces ||
		len(s.Changes) > RememberedChanges || len(s.History) > RememberedVerdicts {
		return fmt.Errorf("%w: too many entries, workspaces, changes or verdicts", ErrInvalidSnapshot)
	}
	for _, e := range s.Entries {
		if err := e.Entry.Validate().Err(); err != nil || e.Revision > s.Covers {
			return fmt.Errorf("%w: entry %s has faults or a revision after the snapshot", ErrInvalidSnapshot, truncate(e.Entry.Name))
		}
	}
	for _, w := range s.Workspaces {
		if err := w.Workspace.Validate().Err(); err != nil || w.Revision > s.Covers {
			return fmt.Errorf("%w: workspace %s has faults or a revision after the snapshot", ErrInvalidSnapshot, truncate(w.Workspace.Name))
		}
	}
	return nil
}
