package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptrace"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"dogwooddyke/internal/wait"
	"dogwooddyke/platform/standin"
)

// Routes of the stand-in's catalogue.
const (
	routeLong  = "long"
	routeShort = "short"
	routeWrite = "write"
	routeRead  = "read"
)

// caller sends requests one after the other, over connections that it keeps.
type caller struct {
	number int
	random *rand.Rand
	client *http.Client
	nodes  []*node
	ledger *ledger
	sent   int

	patience time.Duration // deadline of each request
	factor   float64       // of the times of a planned run's load
	early    bool          // it opens connections long before it uses them
	slowness time.Duration // between two reads of an answer

	crashes *crashes // requests that crash engines
	takesUp bool     // it leaves resumable streams and takes them up again
}

func newCaller(number int, seed uint64, nodes []*node, l *ledger) *caller {
	return &caller{
		number: number, random: rand.New(rand.NewPCG(seed, uint64(number))), nodes: nodes, ledger: l, crashes: &crashes{}, patience: callTimeout,
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}},
	}
}

// run sends until the context ends; what is open then is seen to its end.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		instance := c.random.IntN(len(c.nodes))
		d := c.demand(instance, c.pick())
		send := c.call
		if c.takesUp && d.route == routeShort {
			send = c.follow
		}
		pause := send(d)
		_ = wait.For(ctx, pause+time.Duration(c.random.Int64N(int64(thinkMost)))) // an ended context ends the loop
	}
}

func (c *caller) pick() string {
	switch pick := c.random.IntN(10); {
	case pick < 4:
		return routeLong
	case pick < 5:
		return routeShort
	case pick < 8:
		return routeWrite
	default:
		return routeRead
	}
}

// demand returns a request of a route to an instance.
func (c *caller) demand(instance int, route string) demand {
	d := demand{id: c.nextID(), route: route, instance: instance}
	switch route {
	case routeShort:
		d.events = shortEvents
	case routeLong:
		d.events = leastEvents + c.random.IntN(mostEvents-leastEvents)
	}
	d.tokens = d.events
	return d
}

func (c *caller) nextID() string {
	c.sent++
	return fmt.Sprintf("c%d-%d", c.number, c.sent)
}

// call sends one request to its end and returns how long to wait before the next.
func (c *caller) call(d demand) time.Duration {
	r := record{id: d.id, route: d.route, instance: d.instance, slow: c.slowness > 0, began: time.Now()}
	if d.stream == nil {
		d.stream = &streamed{}
	}
	last := d.stream.last
	if last > 0 {
		r.resumes = d.stream.first
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.patience)
	defer cancel()
	var whole atomic.Pointer[time.Time]
	pause := c.exchange(httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			whole.Store(&now)
		}
	}}), &d, &r)
	r.ended = time.Now()
	r.versions, r.hasEvent = slices.Clone(d.stream.versions), d.stream.last > last
	if at := whole.Load(); at != nil {
		r.whole = *at
	}
	c.ledger.record(r)
	return pause
}

// exchange sends the request and notes how it ends.
func (c *caller) exchange(ctx context.Context, d *demand, r *record) time.Duration {
	method := http.MethodPost
	if r.route == routeRead {
		method = http.MethodGet
	}
	path := "/" + r.route + "/" + r.id
	if r.route == routeRead && c.crashes.request.Load() && c.random.IntN(repeatedShare) == 0 {
		path, r.crashing = repeatedPath, causeRequest
	}
	var body io.Reader = strings.NewReader("body of " + path)
	if d.pieces > 0 {
		body = &pieces{rest: "body of " + path, pause: d.pieces}
	}
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.nodes[r.instance].callers+path, body)
	if err != nil {
		r.outcome, r.why = outcomeWrong, err.Error()
		return 0
	}
	request.ContentLength = int64(len("body of " + path))
	request.Host = standin.Host
	request.GetBody = nil // the client must not send it again by itself
	request.Header.Set(standin.HeaderRequest, r.id)
	request.Header.Set(standin.HeaderDeadline, strconv.FormatInt(c.patience.Milliseconds(), 10))
	request.Header.Set(standin.HeaderKey, standin.Key)
	if d.events > 0 {
		request.Header.Set(standin.HeaderTokens, fmt.Sprint(promptTokens, ",", d.tokens))
		request.Header.Set(standin.HeaderParts, c.parts(r))
	}
	if r.resumes != "" {
		request.Header.Set(standin.HeaderResumes, r.resumes)
		request.Header.Set(standin.HeaderLastEvent, strconv.Itoa(d.stream.last))
	}
	response, err := c.client.Do(request)
	if err != nil {
		r.outcome, r.why = outcomeBroken, err.Error()
		return 0
	}
	defer func() { _ = response.Body.Close() }()
	if c.slowness > 0 {
		response.Body = &slowReader{response.Body, c.slowness}
	}
	if response.StatusCode != http.StatusOK {
		return refused(r, response)
	}
	if d.events > 0 {
		r.outcome, r.why = d.stream.read(response.Body, r.id, d.events)
		return 0
	}
	r.outcome, r.why = readWhole(response, method, path)
	return 0
}

// parts returns the parts of a prompt: one that several callers share, one of the caller, and the request's own.
func (c *caller) parts(r *record) string {
	second := fmt.Sprint("c0", c.number, ":30")
	if c.crashes.part.Load() && c.random.IntN(crashingShare) == 0 {
		second = crashingPartID + ":30"
		r.crashing = causePart
	}
	return fmt.Sprintf("a%d:40,%s,%s:20", c.number%sharedParts, second, r.id)
}

// refused notes an answer other than a success.
func refused(r *record, response *http.Response) time.Duration {
	r.outcome, r.why = outcomeUnknown, response.Status
	if response.StatusCode != http.StatusServiceUnavailable && response.StatusCode != http.StatusTooManyRequests {
		return 0
	}
	r.outcome = outcomeRefused
	seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	if err != nil {
		r.outcome, r.why = outcomeWrong, "refused without a time to return: "+response.Status
	}
	return min(time.Duration(seconds*float64(time.Second)), retryMost)
}

// readWhole checks that an answer is the one of the engine that signed it.
func readWhole(response *http.Response, method, path string) (outcome, string) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return outcomeBroken, err.Error()
	}
	engine := strings.TrimPrefix(response.Header.Get(standin.HeaderSignature), "signed-by-")
	if want := fmt.Sprintf("answer of %s to %s %s", engine, method, path); string(body) != want {
		return outcomeWrong, fmt.Sprintf("body %q", body)
	}
	return outcomeServed, ""
}

// readEvents checks that a stream has each event once and in order, and ends as whole only after the last.
func readEvents(body io.Reader, id string, count int) (outcome, string) {
	return (&streamed{}).read(body, id, count)
}
