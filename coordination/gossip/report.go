package gossip

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"dogwooddyke/coordination/quarantine"
	"dogwooddyke/coordination/quota"
	"dogwooddyke/coordination/standing"
	"dogwooddyke/state/evacuation"
	"dogwooddyke/state/position"
	"dogwooddyke/state/roster"
)

// Report is what an instance sends its peers about itself.
type Report struct {
	From         netip.AddrPort      `cbor:"1,keyasint"`            // address of the sender
	Start        int64               `cbor:"2,keyasint"`            // process start by the sender's clock, in Unix nanoseconds; distinguishes restarts
	Sequence     uint64              `cbor:"3,keyasint"`            // number of the report, from 1 after each start of the process
	Catalogue    int64               `cbor:"4,keyasint"`            // catalogue version in force at the sender; 0 if none
	Uses         []Use               `cbor:"5,keyasint"`            // what the sender has in progress, by endpoint
	Leaving      []string            `cbor:"6,keyasint,omitempty"`  // IDs of endpoints that the sender knows to be leaving or gone
	Updates      []roster.Change     `cbor:"9,keyasint,omitempty"`  // changes of the endpoint list that the sender has just read
	Partial      bool                `cbor:"10,keyasint,omitempty"` // whether uses that are not listed are unchanged instead of ended
	ReadAge      time.Duration       `cbor:"11,keyasint,omitempty"` // time since the sender last read the endpoint list from the log; negative if it never did
	DataCentre   string              `cbor:"13,keyasint,omitempty"` // data centre of the sender
	LatestOffset int64               `cbor:"12,keyasint,omitempty"` // log offset of the newest change of an endpoint that the sender knows
	LatestEra    int64               `cbor:"14,keyasint,omitempty"` // era of LatestOffset
	Bundles      bool                `cbor:"15,keyasint,omitempty"` // whether the sender understands and forwards bundles of reports
	Uptime       time.Duration       `cbor:"16,keyasint,omitempty"` // time since the start of the sender's process
	Stopping     bool                `cbor:"17,keyasint,omitempty"` // whether the sender ends after this report
	RateLimits   []quota.Notice      `cbor:"18,keyasint,omitempty"` // limits that the sender has learnt of, or for which it grants permits
	Evacuations  []evacuation.Change `cbor:"20,keyasint,omitempty"` // orders to evacuate data centres, and those withdrawn lately
	Standings    []standing.Notice   `cbor:"21,keyasint,omitempty"` // rests and departures that endpoints have told the sender of
	Crashes      *quarantine.News    `cbor:"19,keyasint,omitempty"` // crashes of endpoints that the sender has noticed, and answers on prompts; nil if none are new
}

// Latest returns the log position of the newest change of an endpoint that the sender knows.
func (r *Report) Latest() position.Position {
	return position.Position{Era: r.LatestEra, Offset: r.LatestOffset}
}

// Use is what an instance has in progress at one endpoint.
type Use struct {
	Endpoint netip.AddrPort `cbor:"1,keyasint"`           // address of the endpoint
	Running  int            `cbor:"2,keyasint,omitempty"` // runs in progress
	Memory   int            `cbor:"3,keyasint,omitempty"` // KV memory that the runs are expected to need at most, in tokens
	Held     int            `cbor:"4,keyasint,omitempty"` // KV memory that the instance's long runs hold there now, in tokens
	Prompts  int            `cbor:"7,keyasint,omitempty"` // prompt tokens of runs that have not produced a token yet
	Interval time.Duration  `cbor:"5,keyasint,omitempty"` // latest mean time between tokens
	Samples  int            `cbor:"6,keyasint,omitempty"` // number of times that the instance has sampled the interval

	PromptCount    int           `cbor:"8,keyasint,omitempty"`  // runs that have not produced a token yet
	TokenTime      time.Duration `cbor:"9,keyasint,omitempty"`  // latest estimate of the time per prompt token
	PrefillSamples int           `cbor:"10,keyasint,omitempty"` // number of times that the instance has observed it
}

// empty reports whether the instance has nothing in progress at the endpoint.
func (u Use) empty() bool { return u == Use{Endpoint: u.Endpoint} }

// check returns an error that names the first field whose value is out of range.
func (u Use) check() error {
	fields := []struct {
		name  string
		value int
	}{{"running", u.Running}, {"memory", u.Memory}, {"held", u.Held}, {"prompts", u.Prompts}, {"samples", u.Samples}, {"promptCount", u.PromptCount}, {"prefillSamples", u.PrefillSamples}}
	for _, f := range fields {
		if f.value < 0 {
			return fmt.Errorf("use of endpoint %s: %s is negative: %d", u.Endpoint, f.name, f.value)
		}
	}
	if u.Interval < 0 || u.Interval > time.Minute {
		return fmt.Errorf("use of endpoint %s: interval is outside 0 to 1 minute: %s", u.Endpoint, u.Interval)
	}
	if u.TokenTime < 0 || u.TokenTime > time.Second {
		return fmt.Errorf("use of endpoint %s: tokenTime is outside 0 to 1 second: %s", u.Endpoint, u.TokenTime)
	}
	return nil
}

// Encode encodes a report as CBOR; it returns an error if a value can't be encoded.
func Encode(r *Report) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, oops.In("gossip").Wrap(err)
	}
	return data, nil
}

// Decode decodes a report; it returns an error if the data is malformed, too long or has a value out of range.
func Decode(data []byte) (*Report, error) {
	r := &Report{}
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, oops.In("gossip").Wrap(err)
	}
	if !r.From.IsValid() {
		return nil, oops.In("gossip").Errorf("report has no valid sender address")
	}
	if len(r.Uses) > maximumUses || len(r.Leaving) > maximumLeaving || len(r.Updates) > maximumLeaving {
		return nil, oops.In("gossip").Errorf("report lists too many uses, leaving endpoints or updates")
	}
	if len(r.Evacuations) > maximumEvacuations {
		return nil, oops.In("gossip").With("from", r.From).Errorf("report lists more than %d evacuations", maximumEvacuations)
	}
	if len(r.RateLimits) > maximumRateLimits || r.Uptime < 0 {
		return nil, oops.In("gossip").With("from", r.From).Errorf("report lists too many rate limits, or its uptime is negative")
	}
	for _, u := range r.Uses {
		if err := u.check(); err != nil {
			return nil, oops.In("gossip").With("from", r.From).Wrap(err)
		}
	}
	if len(r.Standings) > maximumStandings {
		return nil, oops.In("gossip").With("from", r.From).Errorf("report lists more than %d standings", maximumStandings)
	}
	for _, n := range r.Standings {
		if err := n.Check(); err != nil {
			return nil, oops.In("gossip").With("from", r.From).Wrap(err)
		}
	}
	if err := r.Crashes.Check(); err != nil {
		return nil, oops.In("gossip").With("from", r.From).Wrap(err)
	}
	for _, n := range r.RateLimits {
		if err := n.Check(); err != nil {
			return nil, oops.In("gossip").With("from", r.From).Wrap(err)
		}
	}
	return r, nil
}
