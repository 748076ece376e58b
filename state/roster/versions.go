package roster

import (
	"maps"
	"slices"
	"time"
)

// serviceVersion is a version of the software of a service's endpoints.
type serviceVersion struct{ service, version string }

// withVersion returns a new state of the entry's endpoint with the version that is known of its process, if the state lacks one: the reports of instances
// that don't know of versions do. The entry may be nil.
func (e *entry) withVersion(updated Endpoint) Endpoint {
	if e != nil && updated.Version == "" && e.endpoint.sameProcess(&updated) {
		updated.Version = e.endpoint.Version
	}
	return updated
}

// noteLeft notes that an endpoint of a version is in the list no more; the caller holds the mutex.
func (t *Table) noteLeft(e *Endpoint, now time.Time) {
	if len(t.left) < maximumLeftVersions {
		t.left[serviceVersion{e.Service, e.Version}] = now
	}
}

// Versions returns, in order, the versions of a service's endpoints that are in the list, or were in it within VersionMemory.
func (t *Table) Versions(service string, now time.Time) []string {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	found := make(map[string]bool)
	for _, e := range t.entries {
		if !e.gone && e.endpoint.Service == service {
			found[e.endpoint.Version] = true
		}
	}
	for v, at := range t.left {
		if v.service == service && now.Sub(at) < VersionMemory {
			found[v.version] = true
		}
	}
	return slices.Sorted(maps.Keys(found))
}

// forgetVersions forgets the versions that left the list long ago; the caller holds the mutex.
func (t *Table) forgetVersions(now time.Time) {
	maps.DeleteFunc(t.left, func(_ serviceVersion, at time.Time) bool { return now.Sub(at) >= VersionMemory })
}
