package instance

import (
	"context"
	"time"

	"dogwooddyke/state/catalogue"
)

// tick moves what hangs on time, and puts a changed catalogue in force.
func (i *Instance) tick(ctx context.Context) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			i.followCatalogue(now)
			i.router.Tick(now)
		}
	}
}

// followCatalogue gives the router the entries and workspaces that have changed since the view that it works by.
func (i *Instance) followCatalogue(now time.Time) {
	if !i.replica.Ready() {
		return
	}
	view := i.table.View()
	i.mutex.Lock()
	former := i.view
	i.view = view
	i.mutex.Unlock()
	i.router.SetInstances(len(i.members.Live()), now)
	i.shares.SetInstances(len(i.members.Live()))
	if former == view {
		return
	}
	i.followEntries(former, view, now)
	i.followWorkspaces(former, view, now)
}

func (i *Instance) followEntries(former, view *catalogue.View, now time.Time) {
	for _, e := range view.Entries() {
		if former == nil || revisionOf(former, catalogue.SubjectEntry, e.Name) != revisionOf(view, catalogue.SubjectEntry, e.Name) {
			i.router.SetEntry(e, now)
		}
	}
	if former == nil {
		return
	}
	for _, e := range former.Entries() {
		if _, ok := view.Entry(e.Name); !ok {
			i.router.RemoveEntry(e.Name, now)
		}
	}
}

func (i *Instance) followWorkspaces(former, view *catalogue.View, now time.Time) {
	for _, w := range view.AllWorkspaces() {
		if former == nil || revisionOf(former, catalogue.SubjectWorkspace, w.Name) != revisionOf(view, catalogue.SubjectWorkspace, w.Name) {
			i.router.SetWorkspace(w, now)
		}
	}
	if former == nil {
		return
	}
	for _, w := range former.AllWorkspaces() {
		if _, ok := view.Workspace(w.Name); !ok {
			i.router.RemoveWorkspace(w.Name, now)
		}
	}
}

func revisionOf(view *catalogue.View, kind catalogue.SubjectKind, name string) uint64 {
	return view.RevisionOf(catalogue.Subject{Kind: kind, Name: name})
}
