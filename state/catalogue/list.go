package catalogue

import (
	"slices"
	"strings"
)

// AllWorkspaces returns all workspaces, sorted by name; callers must not modify them.
func (v *View) AllWorkspaces() []*Workspace {
	all := make([]*Workspace, 0, len(v.workspaces))
	for _, s := range v.workspaces {
		all = append(all, &s.workspace)
	}
	slices.SortFunc(all, func(a, b *Workspace) int { return strings.Compare(a.Name, b.Name) })
	return all
}
