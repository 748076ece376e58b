package soak

import (
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"time"

	"github.com/sourcegraph/conc"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// demand is a request that a caller is to send.
type demand struct {
	id       string
	route    string
	instance int
	events   int           // of a stream
	tokens   int           // of its output
	stream   *streamed     // that the request takes up if it has events; nil: a new one
	pieces   time.Duration // between the pieces in which the body is sent; zero: it is sent whole
}

// plannedPace is how long engines take in runs with planned work only.
func plannedPace(factor float64) standin.Pace {
	return standin.Pace{LeastPause: scaled(leastEventPause, factor), MostPause: scaled(mostEventPause, factor), Answer: scaled(plainAnswer, factor), Padding: eventPadding, Tokens: eventTokens}
}

func scaled(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// newArriving returns a caller whose requests don't wait for each other. Some open connections long before they use them, some read slowly.
func newArriving(number int, o *Options, nodes []*node, l *ledger) *caller {
	c := newCaller(number, o.Seed, nodes, l)
	c.patience, c.factor = longPatience, o.Planned.Factor
	var early time.Duration
	switch {
	case number%earlyShare == 0:
		c.early = true
		early = scaled(time.Duration(number/earlyShare%earlySteps)*earlyStep, o.Planned.Grace.Seconds()/grace.Seconds())
	case number%slowShare == 1:
		c.slowness = scaled(slowPause, c.factor)
	}
	c.client.Transport = &http.Transport{
		MaxIdleConnsPerHost: keptConnections,
		WriteBufferSize:     1, // so that heads and bodies are sent in pieces
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			connection, err := (&net.Dialer{}).DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			if c.slowness > 0 {
				err = connection.(*net.TCPConn).SetReadBuffer(slowBuffer)
			}
			if err = errors.Join(err, wait.For(ctx, early)); err != nil {
				return nil, errors.Join(err, connection.Close())
			}
			return connection, nil
		},
	}
	return c
}

// arrive sends requests at random times until the context ends; what is open then is seen to its end.
func (c *caller) arrive(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	var open conc.WaitGroup
	defer open.Wait()
	for wait.For(ctx, time.Duration(c.random.ExpFloat64()*float64(arrivalPause))) == nil {
		d := c.draw()
		open.Go(func() { c.call(d) })
	}
}

// draw returns the next request.
func (c *caller) draw() demand {
	d := demand{instance: c.place()}
	switch pick := c.random.IntN(20); {
	case pick < 3:
		spread := longSpread * c.random.NormFloat64()
		d.route, d.events = routeLong, max(min(int(longMedian*math.Exp(spread)), longMost), 1)
	case pick < 8:
		d.route, d.events = routeShort, 1+c.random.IntN(shortMost)
	case pick < 14:
		d.route = routeWrite
	default:
		d.route = routeRead
	}
	if c.random.IntN(piecesShare) == 0 {
		d.pieces = scaled(between(c.random, 0, mostPiecePause), c.factor)
	}
	d.id, d.tokens = c.nextID(), d.events*eventTokens
	return d
}

// place returns an instance: mostly one that takes work by what the load balancer knows. Callers that open connections early often meet one that has
// been told to stop.
func (c *caller) place() int {
	at := c.random.IntN(len(c.nodes))
	if c.early && c.random.IntN(2) == 0 {
		if stopping := slices.IndexFunc(c.nodes, func(n *node) bool { return n.stopping.Load() }); stopping >= 0 {
			return stopping
		}
	}
	if c.random.IntN(unlistedShare) > 0 {
		for n := 0; n < len(c.nodes) && !c.nodes[at].listed.Load(); n++ {
			at = (at + 1) % len(c.nodes)
		}
	}
	return at
}

// pieces is a body that is sent in parts.
type pieces struct {
	rest  string
	pause time.Duration
}

// Read returns the next part.
func (p *pieces) Read(data []byte) (int, error) {
	if p.rest == "" {
		return 0, io.EOF
	}
	time.Sleep(p.pause)
	n := copy(data[:min(len(data), pieceSize)], p.rest)
	p.rest = p.rest[n:]
	return n, nil
}

// slowReader reads little at a time.
type slowReader struct {
	io.ReadCloser
	pause time.Duration
}

// Read reads a little after a pause.
func (s *slowReader) Read(data []byte) (int, error) {
	time.Sleep(s.pause)
	return s.ReadCloser.Read(data[:min(len(data), slowSize)])
}
