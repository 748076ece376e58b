package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"github.com/samber/oops"
)

// Row is one line of the platform's list of instances and endpoints.
type Row struct {
	Address    netip.AddrPort `json:"address"`
	Kind       string         `json:"kind"` // "instance" or "endpoint"
	DataCentre string         `json:"dataCentre"`
	State      string         `json:"state"` // "live" or "leaving"
}

// Roster is the client of the platform's list.
type Roster struct {
	base   string
	client *http.Client
}

// NewRoster returns a client of the list at the URL.
func NewRoster(base string, client *http.Client) *Roster {
	return &Roster{base: strings.TrimRight(base, "/"), client: client}
}

// Instances returns the list's rows as the platform has them now, which may lag.
func (r *Roster) Instances(ctx context.Context) ([]Row, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, r.base+"/instances", nil)
	if err != nil {
		return nil, oops.In("platform").Wrap(err)
	}
	response, err := r.client.Do(request)
	if err != nil {
		return nil, oops.In("platform").Wrap(err)
	}
	defer closeBody(response.Body)
	if response.StatusCode != http.StatusOK {
		return nil, oops.In("platform").Wrap(fmt.Errorf("list of instances: status %d", response.StatusCode))
	}
	var answer struct {
		Instances []Row `json:"instances"`
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumRosterBytes)).Decode(&answer); err != nil {
		return nil, oops.In("platform").Wrapf(err, "list of instances")
	}
	return answer.Instances, nil
}
