package endpoint

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"

	"github.com/samber/oops"

	"dogwooddyke/protocol/order"
)

const ordersPath = "/orders"

// Orders gives orders to engines and reads them back over HTTP; it implements order.Engines.
type Orders struct {
	clients *Clients
}

// NewOrders returns orders that are sent through the clients.
func NewOrders(clients *Clients) *Orders { return &Orders{clients: clients} }

// Report returns the order that the engine has and how far it is with it.
func (o *Orders) Report(ctx context.Context, address netip.AddrPort) (order.Report, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address.String()+ordersPath, nil)
	if err != nil {
		return order.Report{}, oops.In("endpoint").Wrap(err)
	}
	return o.exchange(o.clients.pooled, request, address)
}

// Send gives the order on a fresh connection, which nothing can have silenced; the error wraps order.ErrFenced if the
// engine refused the fencing number.
func (o *Orders) Send(ctx context.Context, address netip.AddrPort, asked order.Order) (order.Report, error) {
	body, err := json.Marshal(asked)
	if err != nil {
		return order.Report{}, oops.In("endpoint").Wrap(err)
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address.String()+ordersPath, bytes.NewReader(body))
	if err != nil {
		return order.Report{}, oops.In("endpoint").Wrap(err)
	}
	request.Header.Set("Content-Type", "application/json")
	return o.exchange(o.clients.fresh, request, address)
}

func (o *Orders) exchange(client *http.Client, request *http.Request, address netip.AddrPort) (order.Report, error) {
	response, err := client.Do(request)
	if err != nil {
		return order.Report{}, oops.In("endpoint").Wrap(err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusConflict {
		return order.Report{}, oops.In("endpoint").Wrap(fmt.Errorf("%s: %w", address, order.ErrFenced))
	}
	if response.StatusCode != http.StatusOK {
		return order.Report{}, oops.In("endpoint").Errorf("%s of %s: status %d", ordersPath, address, response.StatusCode)
	}
	var report order.Report
	if err := json.NewDecoder(io.LimitReader(response.Body, maximumReportBytes)).Decode(&report); err != nil {
		return order.Report{}, oops.In("endpoint").Wrapf(err, "%s of %s", ordersPath, address)
	}
	return report, nil
}
