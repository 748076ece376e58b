package soak

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"dogwooddyke/platform/standin"
)

// node is one instance: a process that this run started, and whatever follows it at its addresses.
type node struct {
	name    string
	binary  string
	file    string // settings
	output  *os.File
	callers string
	ready   string
	log     *link
	listed  atomic.Bool // the load balancer knows it as ready

	stopping atomic.Bool // it has been told to, a short while ago

	mutex   sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func newNode(o *Options, number int, log *link) (*node, error) {
	n := &node{name: fmt.Sprint("instance-", number), binary: o.Binary, log: log}
	var ports [4]int
	for i := range ports {
		port, err := standin.FreePort()
		if err != nil {
			return nil, err
		}
		ports[i] = port
	}
	n.callers, n.ready = fmt.Sprint("127.0.0.1:", ports[0]), fmt.Sprint("127.0.0.1:", ports[1])
	n.file = filepath.Join(o.Directory, n.name+".ini")
	settings := fmt.Sprintf("[instance]\nname = %s\naddress = 127.0.0.1\ndataCentre = %s\ncallers = %s\nreadiness = %s\n"+
		"firstPeerPort = %d\nlastPeerPort = %d\nmetrics = 127.0.0.1:%d\n[log]\naddress = %s\n"+
		"[bounds]\ngraceSeconds = %g\nheartbeatMilliseconds = %d\nextraRetries = 100\n",
		n.name, dataCentres[number%len(dataCentres)], n.callers, n.ready, ports[2], ports[2]+4, ports[3], log.address(),
		o.grace().Seconds(), heartbeat.Milliseconds())
	if err := os.WriteFile(n.file, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	output, err := os.Create(filepath.Join(o.Directory, n.name+".log"))
	n.output = output
	return n, err
}

// start runs the process; what it says is added to the instance's log.
func (n *node) start() error {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	process := exec.Command(n.binary, "--hosted", "--settings", n.file)
	process.Stdout, process.Stderr = n.output, n.output
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = process, ended
	go func() {
		_ = process.Wait() // its exit is judged by what callers see
		close(ended)
	}()
	return nil
}

// signal sends one to the process, if it still runs.
func (n *node) signal(s syscall.Signal) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.process != nil {
		_ = n.process.Process.Signal(s) // the process may have ended
	}
}

// over waits for the process's end, and tells whether it came.
func (n *node) over(limit time.Duration) bool {
	n.mutex.Lock()
	ended := n.ended
	n.mutex.Unlock()
	if ended == nil {
		return true
	}
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// end kills the process and waits until it is gone.
func (n *node) end() {
	n.signal(syscall.SIGKILL)
	n.over(readyWait)
}

// isReady asks the instance whether it takes work.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + n.ready + standin.PathReadiness)
	if err != nil {
		return false
	}
	return response.Body.Close() == nil && response.StatusCode == http.StatusOK
}
