package gossip

import (
	"fmt"
	"net/netip"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"dogwooddyke/state/roster"
)

// Report is what an instance says of itself.
type Report struct {
	From         netip.AddrPort  `cbor:"1,keyasint"`
	Start        int64           `cbor:"2,keyasint"` // of the process, in Unix nanoseconds by its own clock; tells restarts apart
	Sequence     uint64          `cbor:"3,keyasint"` // of the report, from 1 in each start
	Catalogue    int64           `cbor:"4,keyasint"` // version in force; 0: none
	Uses         []Use           `cbor:"5,keyasint"`
	Leaving      []string        `cbor:"6,keyasint,omitempty"`  // endpoints known to be leaving or gone
	Updates      []roster.Change `cbor:"9,keyasint,omitempty"`  // changes of endpoints that the instance has just read of
	Partial      bool            `cbor:"10,keyasint,omitempty"` // uses that are not listed are as before
	ReadAge      time.Duration   `cbor:"11,keyasint,omitempty"` // since the list of endpoints was read from the log; negative: never
	DataCentre   string          `cbor:"13,keyasint,omitempty"` // data centre of the instance
	LatestOffset int64           `cbor:"12,keyasint,omitempty"` // offset of the newest change of an endpoint that the instance knows
}

// Use is what an instance has in progress at one endpoint.
type Use struct {
	Endpoint netip.AddrPort `cbor:"1,keyasint"`
	Running  int            `cbor:"2,keyasint,omitempty"`
	Memory   int            `cbor:"3,keyasint,omitempty"` // tokens that it expects to need at most
	Held     int            `cbor:"4,keyasint,omitempty"` // tokens that its long runs hold there now
	Prompts  int            `cbor:"7,keyasint,omitempty"` // tokens of its prompts that have given no token yet
	Interval time.Duration  `cbor:"5,keyasint,omitempty"` // latest mean time between tokens
	Samples  int            `cbor:"6,keyasint,omitempty"` // times that it has observed that
}

// none tells whether the use says that there is nothing at its endpoint.
func (u Use) none() bool { return u == Use{Endpoint: u.Endpoint} }

// check tells which field of a use can't be.
func (u Use) check() error {
	fields := []struct {
		name  string
		value int
	}{{"running", u.Running}, {"memory", u.Memory}, {"held", u.Held}, {"prompts", u.Prompts}, {"samples", u.Samples}}
	for _, f := range fields {
		if f.value < 0 {
			return fmt.Errorf("use of %s: %s is %d", u.Endpoint, f.name, f.value)
		}
	}
	if u.Interval < 0 || u.Interval > time.Minute {
		return fmt.Errorf("use of %s: interval is %s", u.Endpoint, u.Interval)
	}
	return nil
}

// Encode writes a report.
func Encode(r *Report) ([]byte, error) {
	data, err := cbor.Marshal(r)
	if err != nil {
		return nil, oops.In("gossip").Wrap(err)
	}
	return data, nil
}

// Decode reads a report and bounds what it holds.
func Decode(data []byte) (*Report, error) {
	r := &Report{}
	if err := cbor.Unmarshal(data, r); err != nil {
		return nil, oops.In("gossip").Wrap(err)
	}
	if !r.From.IsValid() {
		return nil, oops.In("gossip").Errorf("sender is missing")
	}
	if len(r.Uses) > maximumReported || len(r.Leaving) > maximumLeaving || len(r.Updates) > maximumLeaving {
		return nil, oops.In("gossip").Errorf("report is too large")
	}
	for _, u := range r.Uses {
		if err := u.check(); err != nil {
			return nil, oops.In("gossip").With("from", r.From).Wrap(err)
		}
	}
	return r, nil
}
