package endpoint

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"

	"github.com/samber/oops"

	"dogwooddyke/state/endpoint"
)

// Loads reads engines' reports on themselves over HTTP.
type Loads struct {
	clients *Clients
}

// NewLoads returns reports that are read through the clients.
func NewLoads(clients *Clients) *Loads { return &Loads{clients: clients} }

// Load returns the engine's report, which lags.
func (l *Loads) Load(ctx context.Context, address netip.AddrPort) (endpoint.Load, error) {
	var load endpoint.Load
	if err := l.get(ctx, address, "/load", &load); err != nil {
		return endpoint.Load{}, err
	}
	if limit := load.RateLimit; limit != nil && !(*limit >= 0) {
		return endpoint.Load{}, oops.In("endpoint").Errorf("/load of %s: requestsPerSecond is negative: %g", address, *limit)
	}
	return load, nil
}

// CacheEvents returns the events after the sequence number, and the number to ask from next.
func (l *Loads) CacheEvents(ctx context.Context, address netip.AddrPort, after uint64) ([]endpoint.CacheEvent, uint64, error) {
	var page struct {
		Next   uint64 `json:"next"`
		Events []struct {
			Sequence uint64 `json:"seq"`
			Kind     string `json:"kind"`
			Block    string `json:"block"`
		} `json:"events"`
	}
	if err := l.get(ctx, address, "/cacheEvents?after="+strconv.FormatUint(after, 10), &page); err != nil {
		return nil, after, err
	}
	events := make([]endpoint.CacheEvent, 0, len(page.Events))
	for _, e := range page.Events {
		block, err := strconv.ParseUint(e.Block, 16, 64)
		if err != nil {
			return nil, after, oops.In("endpoint").With("block", e.Block).Wrap(err)
		}
		events = append(events, endpoint.CacheEvent{Sequence: e.Sequence, Evicted: e.Kind == "evicted", Block: block})
	}
	return events, page.Next, nil
}

func (l *Loads) get(ctx context.Context, address netip.AddrPort, path string, result any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+path, nil)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	response, err := l.clients.reports.Do(request)
	if err != nil {
		return oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return oops.In("endpoint").Errorf("%s of %s: status %d", path, address, response.StatusCode)
	}
	return json.NewDecoder(io.LimitReader(response.Body, maximumReportBytes)).Decode(result)
}
