package routing

import (
	"maps"
	"net/netip"
	"slices"

	"dogwooddyke/state/catalogue"
)

// needsVersionOf reports whether an endpoint is of the version that the request needs, if it needs one.
func (r *Request) needsVersionOf(e *endpointState) bool {
	return r.spec.Version == "" || r.spec.Version == e.version
}

// missingEndpoint returns why no endpoint may take the request: none of the version that it needs takes work, or none that it does not exclude.
func (r *Request) missingEndpoint() Reason {
	ofVersion := slices.ContainsFunc(r.pool.endpoints, func(e *endpointState) bool { return !e.leaving() && r.needsVersionOf(e) })
	if r.spec.Version != "" && !ofVersion {
		return ReasonVersion
	}
	return ReasonNoEndpoint
}

// withEachVersion adds endpoints to the chosen ones until leastOfVersion of each version are among them, as far as there are so many.
func withEachVersion(chosen []catalogue.Endpoint, self netip.AddrPort, dataCentre string, endpoints []catalogue.Endpoint) []catalogue.Endpoint {
	byVersion := make(map[string][]catalogue.Endpoint)
	for _, e := range endpoints {
		byVersion[e.Version] = append(byVersion[e.Version], e)
	}
	if len(byVersion) == 1 {
		return chosen
	}
	count := make(map[string]int)
	for _, e := range chosen {
		count[e.Version]++
	}
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		for _, e := range choose(self, dataCentre, byVersion[version], leastOfVersion) {
			if count[version] < leastOfVersion && !slices.Contains(chosen, e) {
				chosen = append(chosen, e)
				count[version]++
			}
		}
	}
	return chosen
}
