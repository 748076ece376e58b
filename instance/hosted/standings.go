package hosted

import (
	"context"
	"errors"
	"time"

	"dogwooddyke/coordination/standing"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/process"
	"dogwooddyke/state/ratelimit"
	"dogwooddyke/state/roster"
	"dogwooddyke/state/statement"
)

// stated passes on what an answer says of its endpoint.
func (i *Instance) stated(e relay.Endpoint, sent time.Time, s statement.Statement) {
	for _, err := range []error{s.RateLimit.Err, s.Rest.Err} {
		if err != nil {
			i.observer.statementUnreadable(e, err)
		}
	}
	now := time.Now()
	if limit, stated := s.StatedLimit(); stated {
		news := ratelimit.News{Endpoint: e.Process(), Limit: limit, At: sent}
		if limit.Named {
			news.At = now
		}
		i.quotas.Learn(news, now)
	}
	if s.ColdFor > 0 && i.roster.SetCold(e.ID, now.Add(s.ColdFor), now) {
		i.refreshRouter()
	}
	i.standings.Learn(e.Process(), s, sent, now)
}

// newStandings returns the exchange of what endpoints say of themselves with the other instances.
func (i *Instance) newStandings() *standing.Exchange {
	return standing.NewExchange(standing.Config{
		Router:     i.router,
		Asker:      healthAsker{i},
		Observer:   i.observer,
		DoubtLimit: i.settings.Drain / 2, // requests may still arrive until the drain time is over
		OnLeaving:  i.saidLeaving,
		OnNotices:  i.gossiper.reportSoon,
	})
}

// saidLeaving has an endpoint that leaves by its own word get no new work, and its runs be moved.
func (i *Instance) saidLeaving(e standing.Endpoint, since time.Time) {
	if i.roster.SetLeavesSince(e.ID, since) {
		i.refreshRouter()
	}
}

// updateStandings passes the known endpoints to the exchange; the router's entries must be up to date.
func (i *Instance) updateStandings(endpoints []roster.Endpoint, now time.Time) {
	known := make([]standing.Endpoint, 0, len(endpoints))
	for _, e := range endpoints {
		known = append(known, standing.Endpoint{
			Process: process.Of(e.Address, e.ID, e.Born),
			ID:      e.ID,
			Service: e.Service,
			Born:    e.Born,
			Listed:  e.Leaving,
		})
	}
	i.standings.SetEndpoints(known, now)
}

// healthAsker asks endpoints for their health.
type healthAsker struct {
	instance *Instance
}

// Ask asks an endpoint for its health; what the answer says of the endpoint has been passed on when it returns.
func (a healthAsker) Ask(ctx context.Context, e standing.Endpoint) error {
	table := a.instance.table.Load()
	if table == nil || table.Services[e.Service] == nil || table.Services[e.Service].HealthPath == "" {
		return errNoHealthPath
	}
	endpoint := relay.Endpoint{ID: e.ID, Address: e.Process.Address, Born: e.Born}
	return a.instance.engines.Ask(ctx, endpoint, table.Services[e.Service].HealthPath)
}

var errNoHealthPath = errors.New("catalogue has no health path for the endpoint's service")
