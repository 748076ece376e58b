package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

const (
	template     = "deploy/instance.ini"
	program      = "target/dogwooddyke"
	firstPort    = 21000 // of those from which free ones are sought
	lastPort     = 29000
	peerPorts    = 16
	portTries    = 200
	graceSeconds = 8
	drainMS      = 2000
	applyMS      = 2000
)

// instance is one process of the system.
type instance struct {
	name    string
	zone    string
	ip      string
	callers string
	ready   string
	process *exec.Cmd
	ended   chan struct{} // closed when the process has ended
	output  *os.File
}

var placeholder = regexp.MustCompile(`{{([a-z_.0-9]+)}}`)

// settings fills in the deploy file's template of the settings.
func settings(values map[string]string) (string, error) {
	text, err := os.ReadFile(template)
	if err != nil {
		return "", err
	}
	var missing []string
	filled := placeholder.ReplaceAllStringFunc(string(text), func(found string) string {
		name := placeholder.FindStringSubmatch(found)[1]
		value, known := values[name]
		if !known {
			missing = append(missing, name)
		}
		return value
	})
	if len(missing) > 0 {
		return "", fmt.Errorf("no value for %s", strings.Join(missing, ", "))
	}
	return filled, nil
}

// freePorts finds a range of ports that are free on an address.
func freePorts(ip string, count int) (int, error) {
	for range portTries {
		first := firstPort + rand.N(lastPort-firstPort)
		if allFree(ip, first, count) {
			return first, nil
		}
	}
	return 0, errors.New("no free ports")
}

func allFree(ip string, first, count int) bool {
	for port := first; port < first+count; port++ {
		address := net.JoinHostPort(ip, strconv.Itoa(port))
		l, err := net.Listen("tcp", address)
		if err != nil {
			return false
		}
		_ = l.Close()
		p, err := net.ListenPacket("udp", address)
		if err != nil {
			return false
		}
		_ = p.Close()
	}
	return true
}

// startInstance starts a process of the system by the deploy file's command.
func startInstance(directory, name, zone, ip, storeAddress string) (*instance, error) {
	port, err := freePorts(ip, peerPorts+2)
	if err != nil {
		return nil, err
	}
	at := func(offset int) string { return net.JoinHostPort(ip, strconv.Itoa(port+offset)) }
	text, err := settings(map[string]string{
		"node_name": name, "ip_address": ip, "zone": zone, "region": "region",
		"listen_addresses.frontend": at(peerPorts), "listen_addresses.ready": at(peerPorts + 1),
		"internal_port_range.0": strconv.Itoa(port), "internal_port_range.1": strconv.Itoa(port + peerPorts - 1),
		"limits.memory_mb": "284", "platform.address": storeAddress,
		"bounds.drain_ms": strconv.Itoa(drainMS), "bounds.grace_period_s": strconv.Itoa(graceSeconds),
		"bounds.retry_budget_ratio": "0.2", "bounds.budget_window_s": "10", "bounds.extra_retries": "54", "heartbeat_interval_ms": strconv.FormatInt(heartbeat.Milliseconds(), 10),
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(directory, name+".ini")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(directory, name+".log"))
	if err != nil {
		return nil, err
	}
	i := &instance{name: name, zone: zone, ip: ip, callers: at(peerPorts), ready: at(peerPorts + 1), output: output, ended: make(chan struct{})}
	i.process = exec.Command(program, "--hosted")
	i.process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + directory, "LANG=C", "DOGWOODDYKE_NODE_FILE=" + file}
	i.process.Stdout, i.process.Stderr = output, output
	if err := i.process.Start(); err != nil {
		return nil, err
	}
	go func() {
		_ = i.process.Wait() // how it ends does not matter
		close(i.ended)
	}()
	return i, nil
}

// hasEnded reports whether the process has ended.
func (i *instance) hasEnded() bool {
	select {
	case <-i.ended:
		return true
	default:
		return false
	}
}

// isReady asks as the platform does.
func (i *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + i.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// terminate sends SIGTERM, and SIGKILL after the grace period.
func (i *instance) terminate() {
	_ = i.process.Process.Signal(syscall.SIGTERM) // it may have ended
	go func() {
		select {
		case <-i.ended:
		case <-time.After(graceSeconds * time.Second):
			_ = i.process.Process.Kill()
		}
	}()
}

// kill ends the process.
func (i *instance) kill() {
	_ = i.process.Process.Kill() // it may have ended
	<-i.ended
	_ = i.output.Close()
}
