package standin

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"
)

// InstanceKind tells the system's own instances from endpoints.
type InstanceKind string

// The kinds of instance on the list.
const (
	KindInstance InstanceKind = "instance"
	KindEndpoint InstanceKind = "endpoint"
)

// InstanceState tells live instances from leaving ones.
type InstanceState string

// The states of an instance on the list.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one row of the list; for instances the address is the peer listener.
type Instance struct {
	Address    netip.AddrPort `json:"address"`
	Kind       InstanceKind   `json:"kind"`
	DataCentre string         `json:"dataCentre"`
	State      InstanceState  `json:"state"`
}

func (i *Instance) check() error {
	if !i.Address.IsValid() || i.Address.Port() == 0 {
		return fmt.Errorf("%w: address: not an IP number with a port", ErrRequest)
	}
	if i.Kind != KindInstance && i.Kind != KindEndpoint {
		return fmt.Errorf("%w: kind: neither %s nor %s", ErrRequest, KindInstance, KindEndpoint)
	}
	if i.State != InstanceLive && i.State != InstanceLeaving {
		return fmt.Errorf("%w: state: neither %s nor %s", ErrRequest, InstanceLive, InstanceLeaving)
	}
	return nil
}

// RosterConfig says what a list of instances is.
type RosterConfig struct {
	Lag       time.Duration // after which a change is seen
	Latency   time.Duration // of each call
	Instances []Instance    // seen from the start
}

// Roster is a stand-in of the platform's list of live and leaving instances.
type Roster struct {
	*server
	config      RosterConfig
	rosterMutex sync.Mutex
	truth       map[netip.AddrPort]Instance
	view        map[netip.AddrPort]Instance // what is seen
	pending     []rosterChange              // yet to be seen, oldest first
	body        []byte                      // of the answer; nil when out of date
}

// rosterChange is a row that was put, or removed where it has no state.
type rosterChange struct {
	at  time.Time
	row Instance
}

// NewRoster makes a list of instances.
func NewRoster(config RosterConfig) *Roster {
	r := &Roster{
		server: newServer(FaultDie, FaultStall, FaultSilence, FaultDropAnswer, FaultLose, FaultLag, FaultSlow,
			FaultOutage, FaultPause),
		config: config,
		truth:  make(map[netip.AddrPort]Instance),
		view:   make(map[netip.AddrPort]Instance),
	}
	for _, i := range config.Instances {
		r.truth[i.Address], r.view[i.Address] = i, i
	}
	r.latency = config.Latency
	r.losesRequests, r.holdsAnswers = true, true
	router := httprouter.New()
	router.GET("/instances", r.serveList)
	router.PUT("/instances", r.servePut)
	router.DELETE("/instances", r.serveDelete)
	r.handler = router
	return r
}

// Put adds or changes a row; errors wrap ErrRequest.
func (r *Roster) Put(row Instance) error {
	if err := row.check(); err != nil {
		return err
	}
	r.rosterMutex.Lock()
	defer r.rosterMutex.Unlock()
	if _, known := r.truth[row.Address]; !known && len(r.truth) >= maximumInstances {
		return fmt.Errorf("%w: address: more than %d instances", ErrRequest, maximumInstances)
	}
	r.truth[row.Address] = row
	r.change(row)
	return nil
}

// Delete removes a row; one that is unknown is removed already.
func (r *Roster) Delete(address netip.AddrPort) {
	r.rosterMutex.Lock()
	defer r.rosterMutex.Unlock()
	if _, known := r.truth[address]; !known {
		return
	}
	delete(r.truth, address)
	r.change(Instance{Address: address})
}

// Truth returns the rows without lag, by address.
func (r *Roster) Truth() []Instance {
	r.rosterMutex.Lock()
	defer r.rosterMutex.Unlock()
	return sorted(r.truth)
}

// View returns the rows as they are seen now, by address.
func (r *Roster) View() []Instance {
	r.rosterMutex.Lock()
	defer r.rosterMutex.Unlock()
	r.catchUp(time.Now())
	return sorted(r.view)
}

func (r *Roster) change(row Instance) {
	if len(r.pending) >= maximumChanges {
		r.show(r.pending[0].row)
		r.pending = r.pending[1:]
	}
	r.pending = append(r.pending, rosterChange{at: time.Now(), row: row})
}

// catchUp shows the changes that the lag no longer hides; a lag that grows never takes back what was seen.
func (r *Roster) catchUp(now time.Time) {
	lag := r.config.Lag
	if fault, ok := r.faults.find(FaultLag); ok {
		lag = seconds(fault.Value)
	}
	for len(r.pending) > 0 && now.Sub(r.pending[0].at) >= lag {
		r.show(r.pending[0].row)
		r.pending = r.pending[1:]
	}
}

func (r *Roster) show(row Instance) {
	r.body = nil
	if row.State == "" {
		delete(r.view, row.Address)
		return
	}
	r.view[row.Address] = row
}

func sorted(rows map[netip.AddrPort]Instance) []Instance {
	all := make([]Instance, 0, len(rows))
	for _, row := range rows {
		all = append(all, row)
	}
	slices.SortFunc(all, func(a, b Instance) int { return a.Address.Compare(b.Address) })
	return all
}

func (r *Roster) serveList(w http.ResponseWriter, _ *http.Request, _ httprouter.Params) {
	body, err := r.render()
	if err != nil {
		refuse(w, http.StatusInternalServerError, outcomeNotRun, err.Error())
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}

func (r *Roster) render() ([]byte, error) {
	r.rosterMutex.Lock()
	defer r.rosterMutex.Unlock()
	r.catchUp(time.Now())
	if r.body != nil {
		return r.body, nil
	}
	body, err := json.Marshal(struct {
		Instances []Instance `json:"instances"`
	}{sorted(r.view)})
	r.body = body
	return body, err
}

func (r *Roster) servePut(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	body, err := io.ReadAll(request.Body)
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	var row Instance
	if err := json.Unmarshal(body, &row); err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "body: "+err.Error())
		return
	}
	if err := r.Put(row); err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (r *Roster) serveDelete(w http.ResponseWriter, request *http.Request, _ httprouter.Params) {
	address, err := netip.ParseAddrPort(request.URL.Query().Get("address"))
	if err != nil {
		refuse(w, http.StatusBadRequest, outcomeNotRun, "address: "+err.Error())
		return
	}
	r.Delete(address)
	w.WriteHeader(http.StatusNoContent)
}
