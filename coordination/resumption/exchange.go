package resumption

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"dogwooddyke/coordination/internal/message"
	"dogwooddyke/coordination/member"
	"dogwooddyke/internal/wait"
	"dogwooddyke/state/stream"
)

// How the beginning of a stream travels:
//
//	an endpoint makes the first event -> Began     this instance keeps the beginning and sends it to the stream's keepers, which follow from its ID
//	an instance starts                -> Welcome   those that have beginnings it is to keep send them
//	a caller takes the stream up      -> Find      asks the keepers, and concludes from the versions of the service if they don't know it

// Fleet is what this instance knows of the others.
type Fleet interface {
	// Live returns the other live instances, and whether there are others at all, by what the log lists.
	Live() (live []netip.AddrPort, hasOthers bool)
}

// Services knows the versions of the endpoints of services.
type Services interface {
	// View returns what this instance knows of a service's versions.
	View(service string) View
}

// Network sends messages to other instances; they may be lost.
type Network interface {
	SendBeginnings(to netip.AddrPort, notice []byte)
	SendStreamQuestion(to netip.AddrPort, question []byte)
	SendStreamAnswer(to netip.AddrPort, answer []byte)
}

// Observer is notified of messages that can't be read; its method must be fast and safe for concurrent use.
type Observer interface {
	// StreamMessageUnreadable is called for a message that could not be encoded or decoded.
	StreamMessageUnreadable(err error)
}

// Config is what an exchange works with; all fields are required.
type Config struct {
	Self     netip.AddrPort
	Fleet    Fleet
	Services Services
	Network  Network
	Observer Observer
	Span     time.Duration // for which a version counts that serves no more
}

// Source says by what the version of a stream is known; it is a value of log lines and a label of metrics.
type Source string

// The sources of a version.
const (
	SourceNone  Source = "none"  // it is not known
	SourceKept  Source = "kept"  // this instance keeps the beginning
	SourceAsked Source = "asked" // another instance does
	SourceOnly  Source = "only"  // no other version has served lately
)

// Exchange keeps the beginnings of streams for all instances, and finds them. It is safe for concurrent use.
type Exchange struct {
	config Config
	codec  message.Codec
	table  *stream.Table

	mutex   sync.Mutex
	number  uint64                  // of the latest question
	waiting map[uint64]chan *Answer // questions that are open
}

// NewExchange returns an exchange that knows no stream; Run must be called.
func NewExchange(c Config) *Exchange {
	codec := message.Codec{Unreadable: c.Observer.StreamMessageUnreadable}
	return &Exchange{config: c, codec: codec, table: stream.NewTable(maximumStreams), waiting: make(map[uint64]chan *Answer)}
}

// Run drops what is over until the context ends.
func (x *Exchange) Run(ctx context.Context) {
	for wait.For(ctx, wait.Jitter(expiryInterval)) == nil {
		x.table.Expire(time.Now())
	}
}

// Kept returns the number of streams whose beginnings this instance keeps.
func (x *Exchange) Kept() int { return x.table.Len() }

// Began notes that an endpoint of a version has made the first event of a stream, which its caller may take up until some time after the deadline.
func (x *Exchange) Began(id stream.ID, service, version string, deadline, now time.Time) {
	b := stream.Beginning{Service: service, Version: version, Until: deadline.Add(returnTime)}
	x.table.Add(id, b, now)
	data := x.codec.Encode(&Notice{Records: []Record{newRecord(id, b, now)}})
	if data == nil {
		return
	}
	live, _ := x.config.Fleet.Live()
	for _, k := range member.Subset(keyOf(id), live, keepers) {
		x.config.Network.SendBeginnings(k, data)
	}
}

// keyOf returns the key by which the keepers of a stream are chosen.
func keyOf(id stream.ID) string { return string(id[:]) }

// Welcome sends an instance that has just started the beginnings that it is to keep.
func (x *Exchange) Welcome(to netip.AddrPort, now time.Time) {
	live, _ := x.config.Fleet.Live()
	var records []Record
	x.table.Visit(now, func(id stream.ID, b stream.Beginning) {
		others := append(slices.Clone(live), x.config.Self)
		if slices.Contains(member.Subset(keyOf(id), others, keepers+1), to) {
			records = append(records, newRecord(id, b, now))
		}
	})
	for some := range slices.Chunk(records, maximumRecords) {
		if data := x.codec.Encode(&Notice{Records: some}); data != nil {
			x.config.Network.SendBeginnings(to, data)
		}
	}
}

// Find returns the version at which a stream of a service began, and by what it is known.
func (x *Exchange) Find(ctx context.Context, id stream.ID, service string) (string, Source) {
	if b, found := x.table.Find(id, time.Now()); found {
		return versionFor(service, b.Service, b.Version, SourceKept)
	}
	live, hasOthers := x.config.Fleet.Live()
	found, views := x.ask(ctx, id, service, member.Subset(keyOf(id), live, askedKeepers))
	if found != nil {
		x.table.Add(id, found.beginning(time.Now()), time.Now())
		return versionFor(service, found.Service, found.Version, SourceAsked)
	}
	if version, only := onlyVersion(x.config.Services.View(service), views, hasOthers, x.config.Span); only {
		return version, SourceOnly
	}
	return "", SourceNone
}

// versionFor returns the version of a stream's beginning; none if another service began it, whose endpoints the request can't go to.
func versionFor(service, began, version string, source Source) (string, Source) {
	if service != began {
		return "", SourceNone
	}
	return version, source
}

// ReceiveBeginnings keeps the beginnings that another instance has sent.
func (x *Exchange) ReceiveBeginnings(data []byte, now time.Time) {
	n := &Notice{}
	if !x.codec.Decode(data, n) {
		return
	}
	for i := range n.Records {
		x.table.Add(n.Records[i].Stream, n.Records[i].beginning(now), now)
	}
}

// ReceiveQuestion answers a question of another instance.
func (x *Exchange) ReceiveQuestion(data []byte, now time.Time) {
	q := &Question{}
	if !x.codec.Decode(data, q) {
		return
	}
	a := &Answer{From: x.config.Self, Number: q.Number}
	if b, found := x.table.Find(q.Stream, now); found {
		r := newRecord(q.Stream, b, now)
		a.Record = &r
	} else {
		v := x.config.Services.View(q.Service)
		a.Versions, a.Fresh, a.Span = v.Versions[:min(len(v.Versions), maximumListed)], v.Fresh, v.Span
	}
	if answer := x.codec.Encode(a); answer != nil {
		x.config.Network.SendStreamAnswer(q.From, answer)
	}
}

// ReceiveAnswer takes the answer to a question.
func (x *Exchange) ReceiveAnswer(data []byte) {
	a := &Answer{}
	if !x.codec.Decode(data, a) {
		return
	}
	x.mutex.Lock()
	answers := x.waiting[a.Number]
	x.mutex.Unlock()
	select {
	case answers <- a:
	default: // the question is closed, or has been answered more often than it was sent
	}
}
