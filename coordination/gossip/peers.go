package gossip

import (
	"maps"
	"net/netip"
	"time"
)

// Peers is the table of what an instance knows of the others. It is not safe for concurrent use; callers pass the current time.
type Peers struct {
	self   netip.AddrPort
	known  map[netip.AddrPort]*peer
	totals map[netip.AddrPort]Use // sums of the uses of the counted instances, by endpoint

	promptExpiries []promptExpiry // in order of time
}

// peer is what is known of one other instance.
type peer struct {
	rank     uint64                          // hash of the address
	counted  bool                            // whether the totals contain its uses
	report   *Report                         // latest report; nil if none was received
	uses     map[netip.AddrPort]sequencedUse // uses by endpoint, merged from the latest full report and the partial ones after it
	full     uint64                          // sequence number of the latest full report
	since    time.Time                       // start of the process by this instance's clock; zero if no report had its uptime
	newcomer bool                            // whether the latest report is the first one of its process
	heardAt  time.Time                       // when the latest report was received; zero if the instance is known from the log only
	listedAt time.Time                       // when the log last listed the instance
}

// sequencedUse is a use with the sequence number of the report that listed it. An ended use is kept until the next full report, so that an
// earlier report that arrives late does not bring it back.
type sequencedUse struct {
	Use
	sequence uint64
}

// NewPeers returns a table without other instances.
func NewPeers(self netip.AddrPort) *Peers {
	return &Peers{self: self, known: make(map[netip.AddrPort]*peer), totals: make(map[netip.AddrPort]Use)}
}

// Add adds an instance that another source than its own reports, such as the log, has listed.
func (p *Peers) Add(address netip.AddrPort, now time.Time) {
	if address == p.self || !address.IsValid() || len(p.known) >= maximumPeers {
		return
	}
	if k := p.known[address]; k != nil {
		k.listedAt = now
		return
	}
	p.known[address] = &peer{rank: rank(address), listedAt: now}
}

// NewlySampled returns the uses of a report whose token interval or time per prompt token was sampled again since the instance's previous report; the
// one that was not is zero.
func (p *Peers) NewlySampled(r *Report) []Use {
	var previous map[netip.AddrPort]sequencedUse
	if k := p.known[r.From]; k != nil && k.report != nil && k.report.Start == r.Start {
		previous = k.uses
	}
	var sampled []Use
	for _, u := range r.Uses {
		known := previous[u.Endpoint]
		if u.Samples <= known.Samples {
			u.Interval = 0
		}
		if u.PrefillSamples <= known.PrefillSamples {
			u.TokenTime = 0
		}
		if u.Interval > 0 || u.TokenTime > 0 {
			sampled = append(sampled, u)
		}
	}
	return sampled
}

// Apply records a report unless a newer one of the same instance is known, and reports whether it was recorded.
func (p *Peers) Apply(r *Report, now time.Time) bool {
	if r.From == p.self {
		return false
	}
	k := p.known[r.From]
	if k == nil {
		if len(p.known) >= maximumPeers {
			return false
		}
		k = &peer{rank: rank(r.From)}
		p.known[r.From] = k
	}
	if latest := k.report; latest != nil && (r.Start < latest.Start || r.Start == latest.Start && r.Sequence <= latest.Sequence) {
		p.applyLate(k, r, now)
		return false
	}
	p.uncount(k)
	p.recordPrompts(r, now)
	k.merge(r)
	k.updateStart(r, now)
	k.newcomer = k.report == nil || k.report.Start != r.Start
	k.report, k.heardAt = r, now
	p.count(k)
	return true
}

// applyLate applies the uses of a report that a later one of the same process has overtaken, where the later ones say nothing of them. A
// report that was sent to this instance directly overtakes those that are still on their way in bundles.
func (p *Peers) applyLate(k *peer, r *Report, now time.Time) {
	if r.Start != k.report.Start || r.Sequence <= k.full {
		return
	}
	counted := k.counted
	p.uncount(k)
	p.recordPrompts(r, now)
	if !r.Partial {
		k.full = r.Sequence
		maps.DeleteFunc(k.uses, func(_ netip.AddrPort, u sequencedUse) bool { return u.sequence < r.Sequence })
	}
	k.mergeUses(r)
	if counted {
		p.count(k)
	}
}

// merge updates the uses from a newer report: a full report, or one of a restarted process, replaces them all.
func (k *peer) merge(r *Report) {
	if !r.Partial || k.report == nil || k.report.Start != r.Start {
		k.uses = make(map[netip.AddrPort]sequencedUse, len(r.Uses))
		k.full = r.Sequence
	}
	k.mergeUses(r)
}

// mergeUses updates the uses that a report lists, but for those that a later report has listed.
func (k *peer) mergeUses(r *Report) {
	for _, u := range r.Uses {
		known, listed := k.uses[u.Endpoint]
		if listed && known.sequence > r.Sequence || !listed && len(k.uses) >= maximumUses {
			continue
		}
		k.uses[u.Endpoint] = sequencedUse{u, r.Sequence}
	}
}

// count adds the uses of an instance to the totals.
func (p *Peers) count(k *peer) {
	k.counted = true
	for endpoint, u := range k.uses {
		if u.empty() {
			continue
		}
		sum := p.totals[endpoint]
		sum.Running += u.Running
		sum.Memory += u.Memory
		sum.Prompts += u.Prompts
		sum.PromptCount += u.PromptCount
		p.totals[endpoint] = sum
	}
}

// uncount removes the uses of an instance from the totals if they are in them.
func (p *Peers) uncount(k *peer) {
	if !k.counted {
		return
	}
	k.counted = false
	for endpoint, u := range k.uses {
		sum := p.totals[endpoint]
		sum.Running -= u.Running
		sum.Memory -= u.Memory
		sum.Prompts -= u.Prompts
		sum.PromptCount -= u.PromptCount
		if sum.empty() {
			delete(p.totals, endpoint)
			continue
		}
		p.totals[endpoint] = sum
	}
}

// isLive reports whether an instance counts as running, that is, whether a report of it was received within the expiry time and did not say
// that it was the last one.
func (p *Peers) isLive(k *peer, now time.Time) bool {
	return k.report != nil && !k.report.Stopping && now.Sub(k.heardAt) <= p.expiry()
}

// expiry returns the time without a report after which an instance counts as having nothing in progress.
func (p *Peers) expiry() time.Duration {
	return max(minimumExpiry, maximumMissedReports*p.ReportInterval())
}

// LiveCount returns the number of other instances that are live.
func (p *Peers) LiveCount(now time.Time) int {
	count := 0
	for _, k := range p.known {
		if p.isLive(k, now) {
			count++
		}
	}
	return count
}

// TotalUses returns, by endpoint, the sums of what the other live instances have in progress there. The result is valid until the next
// call of a method.
func (p *Peers) TotalUses(now time.Time) map[netip.AddrPort]Use {
	for _, k := range p.known {
		if k.counted && !p.isLive(k, now) {
			p.uncount(k)
		}
	}
	p.expirePrompts(now)
	return p.totals
}

// UsesAt returns the uses of one endpoint by those other live instances whose runs hold KV memory there, by instance.
func (p *Peers) UsesAt(endpoint netip.AddrPort, now time.Time) map[netip.AddrPort]Use {
	uses := make(map[netip.AddrPort]Use)
	for a, k := range p.known {
		if !p.isLive(k, now) {
			continue
		}
		if u := k.uses[endpoint]; u.Held > 0 {
			uses[a] = u.Use
		}
	}
	return uses
}

// NewestCatalogue returns the other live instance with the newest catalogue, and that version; 0 if no such instance has a catalogue.
func (p *Peers) NewestCatalogue(now time.Time) (netip.AddrPort, int64) {
	var newest netip.AddrPort
	version := int64(0)
	for a, k := range p.known {
		if p.isLive(k, now) && k.report.Catalogue > version {
			newest, version = a, k.report.Catalogue
		}
	}
	return newest, version
}

// ReportInterval returns the time between two reports to all others. It grows with the fleet, so that the number of reports that an
// instance sends per second does not.
func (p *Peers) ReportInterval() time.Duration {
	return max(minimumInterval, time.Duration(float64(len(p.known))/maximumReportsPerSecond*float64(time.Second)))
}

// FullReportInterval returns the time between two reports that list all uses.
func (p *Peers) FullReportInterval() time.Duration {
	return max(minimumFullInterval, intervalsPerFullReport*p.ReportInterval())
}

// ReaderInterval returns the longest time between two reports of a forwarder or a reader.
func (p *Peers) ReaderInterval() time.Duration { return min(p.ReportInterval(), readerInterval) }

// NextReport returns the longest time until this instance's next report. A forwarder or a reader reports more often than others, so that
// others soon notice when it does not.
func (p *Peers) NextReport(dataCentre string, now time.Time) time.Duration {
	if p.IsForwarder(dataCentre, now) || p.IsReader(now) {
		return p.ReaderInterval()
	}
	return p.ReportInterval()
}
