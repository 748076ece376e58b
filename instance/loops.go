package instance

import (
	"context"
	"time"

	"github.com/sourcegraph/conc/panics"

	"dogwooddyke/state/catalogue"
)

// keep runs a loop until the context ends; one that panics is counted, logged and started again.
func (i *Instance) keep(ctx context.Context, name string, loop func(context.Context)) {
	i.group.Go(func() {
		for ctx.Err() == nil {
			caught := panics.Try(func() { loop(ctx) })
			if caught == nil {
				continue
			}
			i.metrics.event("panic."+name, nil)
			i.logger.Error("loop failed", "loop", name, "cause", caught.String())
			time.Sleep(restartPause)
		}
	})
}

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
	instances := len(i.members.Live())
	i.router.SetInstances(instances, now)
	i.shares.SetInstances(instances)
	former, view := i.view.Load(), i.table.View()
	if former == view {
		return
	}
	i.followEntries(former, view, now)
	i.followWorkspaces(former, view, now)
	i.followEndpoints(now)
	i.view.Store(view)
}

func (i *Instance) followEntries(former, view *catalogue.View, now time.Time) {
	for _, e := range view.Entries() {
		if revisionOf(former, catalogue.SubjectEntry, e.Name) != revisionOf(view, catalogue.SubjectEntry, e.Name) {
			i.router.SetEntry(e, now)
		}
	}
	for _, e := range former.Entries() {
		if _, ok := view.Entry(e.Name); !ok {
			i.router.RemoveEntry(e.Name, now)
		}
	}
}

func (i *Instance) followWorkspaces(former, view *catalogue.View, now time.Time) {
	for _, w := range view.AllWorkspaces() {
		if revisionOf(former, catalogue.SubjectWorkspace, w.Name) != revisionOf(view, catalogue.SubjectWorkspace, w.Name) {
			i.router.SetWorkspace(w, now)
		}
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
