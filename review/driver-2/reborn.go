package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"sync"
	"time"
)

const (
	generators    = 5 // of which one is cut off: a share of 0.2
	streamTokens  = 600
	streamPause   = 100 * time.Millisecond // between two requests
	streamTimeout = 39 * time.Second
	cutFor        = 1500 * time.Millisecond // of at most 5 s
	killAfter     = 300 * time.Millisecond  // from the begin of the cut
	restartAfter  = 600 * time.Millisecond  // from the kill
)

// process is a generator's process, with its link to the instances.
type process struct {
	number  int
	starts  int
	id      string
	address string // where the process listens
	link    *link
	command *exec.Cmd
	born    int64
	folder  string      // of the deployment
	begun   chan string // ids of the runs without length that it begins
	record  *record
}

// start starts the process, at the address that it had.
func (p *process) start() error {
	p.starts++
	p.born = time.Now().UnixMilli()
	p.id = fmt.Sprintf("i-%06x%02x", 0x7f3a91+p.number, p.starts)
	self, err := os.Executable()
	if err != nil {
		return err
	}
	p.command = exec.Command(self, "generator", p.address, p.id, p.folder)
	p.command.Stderr = os.Stderr
	output, err := p.command.StdoutPipe()
	if err != nil {
		return err
	}
	if err := p.command.Start(); err != nil {
		return err
	}
	lines := bufio.NewScanner(output)
	if !lines.Scan() {
		return fmt.Errorf("generator %d does not listen", p.number)
	}
	p.address = strings.TrimPrefix(lines.Text(), "listens ")
	p.link.target.Store(&p.address)
	p.record.note("server %s listens at %s, known as %s", p.id, p.address, p.link.address())
	id := p.id
	go func() {
		for lines.Scan() {
			p.record.note("server %s %s", id, lines.Text())
			if run, found := strings.CutSuffix(lines.Text(), " true"); found && strings.HasPrefix(run, "begins ") {
				p.begun <- strings.TrimPrefix(run, "begins ")
			}
		}
	}()
	return nil
}

// entry is the process's record in the platform's store.
func (p *process) entry() []byte {
	data, err := json.Marshal(map[string]any{
		"service": "isoraklet", "address": p.link.address(), "zone": []string{"lulea-a", "umea-a"}[p.number%2], "version": "v1", "slots": 64, "state": "ready", "cold_remaining_ms": 0,
		"stage": "both", "models": []any{map[string]any{"name": "m", "version": 1, "adapters": []any{}}}, "sequence": 4, "born": p.born,
	})
	if err != nil {
		panic(err) // the fields are plain
	}
	return data
}

// fleet is the processes of the generators.
type fleet struct {
	site      *site
	processes []*process

	mutex  sync.Mutex
	silent map[string]bool // ids of processes that don't write to the store
}

// startFleet starts the generators, and their heartbeats.
func startFleet(s *site) (*fleet, error) {
	f := &fleet{site: s, silent: make(map[string]bool)}
	for n := range generators {
		l, err := newLink()
		if err != nil {
			return f, err
		}
		port, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return f, err
		}
		address := port.Addr().String()
		_ = port.Close()
		p := &process{number: n, address: address, link: l, begun: make(chan string, 64), record: s.record, folder: s.directory}
		f.processes = append(f.processes, p)
		if err := p.start(); err != nil {
			return f, err
		}
	}
	f.beat()
	go func() {
		for {
			select {
			case <-s.ended:
				return
			case <-time.After(heartbeat):
				f.beat()
			}
		}
	}()
	return f, nil
}

func (f *fleet) beat() {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	for _, p := range f.processes {
		if !f.silent[p.id] {
			f.site.store.put("keyed.servers", p.id, p.entry())
		}
	}
}

func (f *fleet) close() {
	for _, p := range f.processes {
		if p.command == nil || p.command.Process == nil {
			continue
		}
		_ = p.command.Process.Kill()
		_ = p.command.Wait()
	}
}

// trouble cuts a generator off, kills it behind the cut, and starts it again there before the cut heals. It has a new id then, as most starts do.
func (f *fleet) trouble(p *process) error {
	r, former := f.site.record, p.id
	p.link.cut()
	f.mutex.Lock()
	f.silent[former] = true
	f.mutex.Unlock()
	r.note("server %s is cut off", former)
	time.Sleep(killAfter)
	if err := p.command.Process.Kill(); err != nil {
		return err
	}
	_ = p.command.Wait()
	r.note("server %s is killed", former)
	time.Sleep(restartAfter)
	f.mutex.Lock()
	err := p.start()
	f.silent[p.id] = true
	f.mutex.Unlock()
	if err != nil {
		return err
	}
	time.Sleep(cutFor - killAfter - restartAfter)
	p.link.heal()
	r.note("the cut has healed")
	f.mutex.Lock()
	f.silent[p.id] = false
	f.mutex.Unlock()
	f.beat()
	go func() {
		time.Sleep(3*heartbeat - cutFor)
		f.site.store.put("keyed.servers", former, nil)
	}()
	return nil
}

// playReborn cuts one of five model engines off while it makes a stream without a length. The engine crashes behind the cut and starts again. No stream
// may end as complete before its last event.
func playReborn(r *record, trouble bool) ([]string, error) {
	s, err := newSite(r, streamConfig(), nil, 3)
	if s != nil {
		defer s.close()
	}
	if err != nil {
		return nil, err
	}
	f, err := startFleet(s)
	defer f.close()
	if err != nil {
		return nil, err
	}
	time.Sleep(time.Second)
	var breaks []string
	var mutex sync.Mutex
	var group sync.WaitGroup
	troubled := make(chan error, 1)
	var once sync.Once
	stop := make(chan struct{})
	for _, p := range f.processes {
		go func() {
			for id := range p.begun {
				once.Do(func() {
					r.note("the stream of %s has no length", id)
					time.Sleep(500 * time.Millisecond)
					if trouble {
						troubled <- f.trouble(p)
					}
					time.AfterFunc(4*time.Second, func() { close(stop) })
				})
			}
		}()
	}
	limit := time.After(70 * time.Second)
	for n := 0; ; n++ {
		select {
		case <-limit:
			return nil, fmt.Errorf("no stream without a length was made")
		case <-stop:
			group.Wait()
			select {
			case err = <-troubled:
			default:
			}
			return breaks, err
		case <-time.After(streamPause):
		}
		id, to := fmt.Sprintf("%016x", 0x1c41d07be2a30000+n), s.instances[n%len(s.instances)]
		group.Go(func() {
			last, err := stream(to.front, id, streamTokens, streamTimeout)
			r.note("client %s by %s: last event %d of %d, error %v", id, to.name, last, eventsOf(streamTokens), err)
			if err == nil && last < eventsOf(streamTokens) {
				mutex.Lock()
				defer mutex.Unlock()
				breaks = append(breaks, fmt.Sprintf("ORDER: the stream of %s ended as complete after event %d of %d", id, last, eventsOf(streamTokens)))
			}
		})
	}
}

// streamConfig is a configuration with one route for streams that may not be resumed.
func streamConfig() []byte {
	data, err := json.Marshal(map[string]any{
		"version": 7,
		"routes": []any{map[string]any{
			"name": "r-ice", "host": host, "path_prefix": "/lohu930/", "kind": "streaming", "timeout_ms": 39000, "target_latency_ms": 1800, "priority": 1,
			"service": "isoraklet", "max_attempts": 1, "anonymous": false, "session_affinity": true, "stream_resumption": false, "target_gap_ms": 180,
		}},
		"services": []any{map[string]any{
			"name": "isoraklet", "health_path": healthPath, "connection_limit": 442, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 34364, "kv_bytes": 262144, "link_mbps": 38000.0, "moves": true, "backups": true, "stride": eventTokens,
				"most": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []any{map[string]any{"name": "m"}},
			},
		}},
		"limits":  map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err) // the fields are plain
	}
	return data
}
