package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	host       = "ficu95.example"
	key        = "xd9dnn2ctnfzs989anu6"
	tenant     = "huka270"
	healthPath = "/health"
	heartbeat  = 1200 * time.Millisecond
)

// site is a small deployment: the store, plain services and the project's instances as processes.
type site struct {
	directory string
	record    *record
	store     *store
	engines   []*engine
	instances []*instance
	ended     chan struct{}
	once      sync.Once
}

// instance is one process of the project.
type instance struct {
	name    string
	zone    string
	front   string
	ready   string
	process *exec.Cmd
}

// newSite starts the deployment with a server for each of the named services, and waits until all instances are ready.
func newSite(r *record, config []byte, services []string, instances int) (*site, error) {
	directory, err := os.MkdirTemp("", "review-2-")
	if err != nil {
		return nil, err
	}
	s := &site{directory: directory, record: r, ended: make(chan struct{})}
	if s.store, err = newStore(); err != nil {
		return s, err
	}
	s.store.put("keyed.op", "config", config)
	zones := []string{"lulea-a", "umea-a"}
	for n, service := range services {
		e, err := newEngine(fmt.Sprintf("i-%08x", 0x7f3a91c2+n), service, zones[n%2])
		if err != nil {
			return s, err
		}
		s.engines = append(s.engines, e)
	}
	s.beat(1)
	go s.keepBeating()
	for n := range instances {
		if err := s.start(fmt.Sprintf("frontend-%s-%d", zones[n%2], 1+n/2), zones[n%2]); err != nil {
			return s, err
		}
	}
	return s, s.await()
}

func (s *site) beat(sequence int) {
	for _, e := range s.engines {
		s.store.put("keyed.servers", e.id, e.entry(sequence))
	}
}

// keepBeating writes the engines' entries at each heartbeat.
func (s *site) keepBeating() {
	for sequence := 2; ; sequence++ {
		select {
		case <-s.ended:
			return
		case <-time.After(heartbeat):
			s.beat(sequence)
		}
	}
}

var placeholder = regexp.MustCompile(`\{\{([^}]*)\}\}`)

// start starts a process with the command of deploy/system.toml and the settings of deploy/instance.ini.
func (s *site) start(name, zone string) error {
	ports, err := freePorts()
	if err != nil {
		return err
	}
	i := &instance{name: name, zone: zone, front: fmt.Sprint("127.0.0.1:", ports), ready: fmt.Sprint("127.0.0.1:", ports+1)}
	template, err := os.ReadFile("deploy/instance.ini")
	if err != nil {
		return err
	}
	values := map[string]string{
		"node_name": name, "ip_address": "127.0.0.1", "zone": zone, "region": "norrland",
		"listen_addresses.frontend": i.front, "listen_addresses.ready": i.ready,
		"internal_port_range.0": fmt.Sprint(ports + 2), "internal_port_range.1": fmt.Sprint(ports + 7), "limits.memory_mb": "134",
		"platform.address": s.store.address(), "bounds.drain_ms": "2000", "bounds.grace_period_s": "8", "bounds.retry_budget_ratio": "0.2",
		"bounds.budget_window_s": "10", "bounds.extra_retries": "56", "heartbeat_interval_ms": fmt.Sprint(heartbeat.Milliseconds()),
	}
	text := placeholder.ReplaceAllStringFunc(string(template), func(p string) string { return values[strings.Trim(p, "{}")] })
	file := filepath.Join(s.directory, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return err
	}
	output, err := os.Create(filepath.Join(s.directory, name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = output.Close() }() // the process has its own
	i.process = exec.Command("target/dogwooddyke", "--hosted")
	i.process.Env = append(os.Environ(), "DOGWOODDYKE_NODE_FILE="+file)
	i.process.Stdout, i.process.Stderr = output, output
	if err := i.process.Start(); err != nil {
		return err
	}
	s.instances = append(s.instances, i)
	return nil
}

// freePorts returns the first of eight neighbouring ports that nobody listens on.
func freePorts() (int, error) {
	portsMutex.Lock()
	defer portsMutex.Unlock()
	for ; nextPorts < 30000; nextPorts += 8 {
		free := true
		for n := range 8 {
			l, err := net.Listen("tcp", fmt.Sprint("127.0.0.1:", nextPorts+n))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			nextPorts += 8
			return nextPorts - 8, nil
		}
	}
	return 0, errors.New("no free ports")
}

var (
	portsMutex sync.Mutex
	nextPorts  = 12000 + os.Getpid()%2000*8
)

// await waits until all instances are ready.
func (s *site) await() error {
	limit := time.Now().Add(15 * time.Second)
	for _, i := range s.instances {
		for !i.isReady() {
			if time.Now().After(limit) {
				return errors.New(i.name + " is not ready")
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return nil
}

func (i *instance) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// close ends the processes that it started.
func (s *site) close() {
	s.once.Do(func() { close(s.ended) })
	for _, i := range s.instances {
		_ = i.process.Process.Signal(syscall.SIGKILL)
		_ = i.process.Wait()
	}
	_ = os.RemoveAll(s.directory)
}

// route is a route of the configuration as the operator writes it.
func route(name, prefix, kind, service string, attempts int) map[string]any {
	return map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "timeout_ms": 800, "target_latency_ms": 150, "priority": 2,
		"service": service, "max_attempts": attempts, "anonymous": false, "session_affinity": false, "stream_resumption": false,
	}
}

// service is a plain service of the configuration.
func service(name string) map[string]any {
	return map[string]any{"name": name, "health_path": healthPath, "connection_limit": 110, "protocol": "h1", "tls": false}
}

// portals returns the services of so many servers of one service.
func portals(count int) []string { return slices.Repeat([]string{"isportal"}, count) }

// config is the operator's configuration with the given routes.
func config(version int, routes ...map[string]any) []byte {
	data, err := json.Marshal(map[string]any{
		"version":  version,
		"routes":   routes,
		"services": []any{service("isportal"), service("isarkiv")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []any{map[string]any{"name": tenant, "api_keys": []string{key}, "priority": 1}},
	})
	if err != nil {
		panic(err) // the fields are plain
	}
	return data
}
