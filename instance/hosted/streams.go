package hosted

import (
	"context"
	"net/netip"
	"time"

	"dogwooddyke/coordination/resumption"
	"dogwooddyke/protocol/relay"
	"dogwooddyke/state/roster"
)

// streams connects the runner with the exchange of the beginnings of streams.
type streams struct {
	exchange *resumption.Exchange
	observer *observer
}

// Began notes the version that made the first event of a request's stream.
func (s streams) Began(r *relay.Request, version string) {
	s.exchange.Began(r.Stream(), r.Service, version, r.Deadline, time.Now())
}

// Find returns the version that began the stream which a request takes up; empty if it is not known.
func (s streams) Find(ctx context.Context, r *relay.Request) string {
	began := time.Now()
	version, source := s.exchange.Find(ctx, r.Stream(), r.Service)
	s.observer.streamTakenUp(r, version, source, began)
	return version
}

// streamFleet is what the exchange needs to know of the other instances, and of services.
type streamFleet struct {
	instance *Instance
}

// Live returns the other live instances, and whether there are others at all.
func (f streamFleet) Live() ([]netip.AddrPort, bool) {
	g, now := f.instance.gossiper, time.Now()
	g.mutex.Lock()
	defer g.mutex.Unlock()
	live := g.peers.Live(now)
	return live, len(live)+g.peers.SilentCount(now) > 0
}

// View returns the versions of a service by this instance's list of endpoints.
func (f streamFleet) View(service string) resumption.View {
	i, now := f.instance, time.Now()
	view := resumption.View{Versions: i.roster.Versions(service, now), Fresh: !i.listStale(now)}
	if since := i.listedSince.Load(); since != nil {
		view.Span = now.Sub(*since)
	}
	return view
}

// SendBeginnings sends beginnings of streams that the instance is to keep.
func (g *gossiper) SendBeginnings(to netip.AddrPort, notice []byte) {
	g.send(to, messageBeginnings, notice)
}

// SendStreamQuestion sends a question for the beginning of a stream.
func (g *gossiper) SendStreamQuestion(to netip.AddrPort, question []byte) {
	g.send(to, messageStreamQuestion, question)
}

// SendStreamAnswer sends the answer to such a question.
func (g *gossiper) SendStreamAnswer(to netip.AddrPort, answer []byte) {
	g.send(to, messageStreamAnswer, answer)
}

// newResumption returns the exchange of the beginnings of streams with the other instances.
func (i *Instance) newResumption() *resumption.Exchange {
	fleet := streamFleet{i}
	return resumption.NewExchange(resumption.Config{
		Self:     i.gossiper.self,
		Fleet:    fleet,
		Services: fleet,
		Network:  i.gossiper,
		Observer: i.observer,
		Span:     roster.VersionMemory,
	})
}
