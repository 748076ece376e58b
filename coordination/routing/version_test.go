package routing

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/state/catalogue"
	"dogwooddyke/state/endpoint"
)

// versioned returns engines of which the first ones are of an old version.
func versioned(old, count int) []catalogue.Endpoint {
	all := engines(count)
	for n := range all {
		all[n].Version = "new"
		if n < old {
			all[n].Version = "old"
		}
	}
	return all
}

// newVersionedCore returns a core with a request's worth of room at each engine.
func newVersionedCore(endpoints []catalogue.Endpoint, now time.Time) *Core {
	c := NewCore(Config{Instances: 8})
	c.SetEntry(&catalogue.Entry{Name: "e", Kind: catalogue.KindEngine, Endpoints: endpoints}, now)
	for _, e := range endpoints {
		c.SetShare(e.Address, endpoint.Share{Slots: 1, Memory: 1 << 20, Spread: 1, Until: now.Add(time.Hour)})
	}
	return c
}

// An instance of a large fleet uses few endpoints of an entry; streams of a version could go on nowhere if none of it was among them.
func TestSubsetHasEachVersion(t *testing.T) {
	for _, old := range []int{1, 2, 5, 100} {
		t.Run(fmt.Sprint(old), func(t *testing.T) {
			is := is.New(t)
			for n := range 50 {
				chosen := subset(address(n), "a", versioned(old, 200), defaultSubsetSize)
				count := 0
				for _, e := range chosen {
					if e.Version == "old" {
						count++
					}
				}
				is.True(count >= min(old, leastOfVersion))
				is.True(len(chosen) <= defaultSubsetSize+leastOfVersion)
			}
		})
	}
}

func TestRequestOfVersion(t *testing.T) {
	now := time.Unix(1000, 0)
	spec := func(version string, exclude ...netip.AddrPort) *RequestSpec {
		return &RequestSpec{Entry: "e", Workspace: "w", Version: version, Exclude: exclude, Deadline: now.Add(time.Minute)}
	}
	t.Run("starts at an endpoint of its version only", func(t *testing.T) {
		is := is.New(t)
		endpoints := versioned(2, 8)
		c := newVersionedCore(endpoints, now)
		for range 3 {
			c.Submit(spec("old"), now)
		}
		started := c.Admit(now)
		is.Equal(len(started), 2) // the third waits, though endpoints of the other version are free
		for _, r := range started {
			is.True(r.Endpoint() == endpoints[0].Address || r.Endpoint() == endpoints[1].Address)
		}
		c.Submit(spec(""), now)
		is.Equal(len(c.Admit(now)), 1) // and holds up no other request
	})
	t.Run("is refused at once if no endpoint of its version takes work", func(t *testing.T) {
		is := is.New(t)
		endpoints := versioned(1, 8)
		c := newVersionedCore(endpoints, now)
		for version, reason := range map[string]Reason{"gone": ReasonVersion, "old": ""} {
			r := c.Submit(spec(version), now)
			is.Equal(r.Refusal() != nil, reason != "")
			if r.Refusal() != nil {
				is.Equal(r.Refusal().Reason, reason)
				is.True(r.Refusal().RetryAt.After(now)) // an endpoint of the version may start again
			}
		}
		c.SetLeaving(endpoints[0].Address, true)
		is.Equal(c.Submit(spec("old"), now).Refusal().Reason, ReasonVersion)
	})
	t.Run("that excludes all endpoints of its version may try them again", func(t *testing.T) {
		is := is.New(t)
		endpoints := versioned(1, 8)
		refusal := newVersionedCore(endpoints, now).Submit(spec("old", endpoints[0].Address), now).Refusal()
		is.Equal(refusal.Reason, ReasonNoEndpoint)
		is.True(refusal.MayPassWithoutExclusions())
	})
	t.Run("has its backup at the same version", func(t *testing.T) {
		is := is.New(t)
		endpoints := versioned(2, 8)
		c := newVersionedCore(endpoints, now)
		c.Submit(spec("old"), now)
		r := c.Admit(now)[0]
		backup, found := c.ReserveBackup(r, now)
		is.True(found)
		is.True(backup != r.Endpoint() && (backup == endpoints[0].Address || backup == endpoints[1].Address))
	})
	t.Run("is not placed at another version, even as the preferred endpoint", func(t *testing.T) {
		is := is.New(t)
		endpoints := versioned(2, 8)
		c := newVersionedCore(endpoints, now)
		s := spec("old")
		s.PreferredEndpoint = endpoints[5].Address
		r := c.Place(s, now)
		is.Equal(r.Refusal(), nil)
		is.True(r.Endpoint() != endpoints[5].Address)
		s.PreferredOnly = true
		is.True(c.Place(s, now).Refusal() != nil)
	})
}
