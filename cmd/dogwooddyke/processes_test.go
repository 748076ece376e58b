package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	processWait = 30 * time.Second
	processKey  = "key-of-the-process-test"
)

// processes runs the two binaries as an operator would.
type processes struct {
	t         *testing.T
	directory string
	log       string
	roster    string
	engine    string
}

// freeAddresses returns loopback addresses that nobody listens on at the moment.
func freeAddresses(t *testing.T, count int) []string {
	t.Helper()
	is := is.New(t)
	var addresses []string
	for range count {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.NoErr(err)
		defer func() { _ = l.Close() }()
		addresses = append(addresses, l.Addr().String())
	}
	return addresses
}

func newProcesses(t *testing.T) *processes {
	t.Helper()
	is := is.New(t)
	p := &processes{t: t, directory: t.TempDir()}
	build := exec.Command("go", "build", "-o", p.directory, "dogwooddyke/cmd/...")
	output, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("build: %v\n%s", err, output)
	}
	addresses := freeAddresses(t, 3)
	p.log, p.roster, p.engine = addresses[0], addresses[1], addresses[2]
	p.start("dykectl", "standin", "log", "--listen", p.log)
	p.start("dykectl", "standin", "roster", "--listen", p.roster)
	p.start("dykectl", "standin", "engine", "--listen", p.engine, "--model", "ice", "--version", "1", "--repeatable")
	for _, a := range addresses {
		p.await("listener "+a, func() bool {
			c, err := net.Dial("tcp", a)
			if err != nil {
				return false
			}
			return c.Close() == nil
		})
	}
	is.NoErr(err)
	return p
}

func (p *processes) start(binary string, arguments ...string) *exec.Cmd {
	is := is.New(p.t)
	command := exec.Command(filepath.Join(p.directory, binary), arguments...)
	var stderr strings.Builder
	command.Stderr = &stderr
	is.NoErr(command.Start())
	p.t.Cleanup(func() {
		_ = command.Process.Kill()
		_ = command.Wait()
		if p.t.Failed() {
			p.t.Logf("%s: %s", binary, stderr.String())
		}
	})
	return command
}

func (p *processes) await(what string, holds func() bool) {
	p.t.Helper()
	deadline := time.Now().Add(processWait)
	for !holds() {
		if time.Now().After(deadline) {
			p.t.Fatalf("never came about: %s", what)
		}
		time.Sleep(10 * time.Millisecond)
	}
}

func (p *processes) write(name, text string) string {
	is := is.New(p.t)
	path := filepath.Join(p.directory, name)
	is.NoErr(os.WriteFile(path, []byte(text), 0o600))
	return path
}

// instance starts one and returns its process and its listeners for callers and operators.
func (p *processes) instance(name string) (command *exec.Cmd, callers, operators string) {
	return p.instanceWith(name, "")
}

// instanceWith starts one with more settings.
func (p *processes) instanceWith(name, more string) (command *exec.Cmd, callers, operators string) {
	is := is.New(p.t)
	a := freeAddresses(p.t, 3)
	file := p.write(name+".ini", fmt.Sprintf("[instance]\ndataCentre = lulea-a\nnotice = 100ms\ncallers = %s\noperators = %s\npeers = %s\n"+
		"[peers]\nkey = peer-key-of-the-process-test-0123456789\n[answers]\nkey = token-key-of-the-process-test-0123456789\n"+
		"[platform]\nlog = http://%s\nroster = http://%s\n%s", a[0], a[1], a[2], p.log, p.roster, more))
	command = p.start("dogwooddyke", "--settings", file)
	row := fmt.Sprintf(`{"address":%q,"kind":"instance","dataCentre":"lulea-a","state":"live"}`, a[2])
	request, err := http.NewRequest(http.MethodPut, "http://"+p.roster+"/instances", strings.NewReader(row))
	is.NoErr(err)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	_ = response.Body.Close()
	is.True(response.StatusCode/100 == 2)
	return command, a[0], a[1]
}

// publish runs dykectl publish, which returns when the files are in force at the instances.
func (p *processes) publish(operators []string, files ...string) {
	arguments := []string{"publish", "--log", "http://" + p.log}
	for _, o := range operators {
		arguments = append(arguments, "--instance", "http://"+o)
	}
	output, err := exec.Command(filepath.Join(p.directory, "dykectl"), append(arguments, files...)...).CombinedOutput()
	if err != nil {
		p.t.Fatalf("publish: %v\n%s", err, output)
	}
}

func (p *processes) catalogue() []string {
	sum := sha256.Sum256([]byte(processKey))
	return []string{
		p.write("skaters.ini", "[workspace]\nname = skaters\nowner = islaget\nkeyHashes = "+hex.EncodeToString(sum[:])+"\n"),
		p.write("isoraklet.ini", "[entry]\nname = isoraklet\nowner = islaget\nkind = engine\nclass = assessment\nmodel = ice\nversion = 1\n"+
			"repeatable = true\n[endpoint "+p.engine+"]\ndataCentre = lulea-a\n"),
	}
}

// ask sends a request and returns the response with its body open.
func (p *processes) ask(method, url, lastEvent, body string) *http.Response {
	is := is.New(p.t)
	request, err := http.NewRequest(method, url, strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+processKey)
	if lastEvent != "" {
		request.Header.Set("Last-Event-ID", lastEvent)
	}
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	p.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// count reads events up to the number, or to the end, and returns how many there were, the last id, and whether the end mark came.
func count(response *http.Response, most int) (events int, last string, done bool) {
	lines := bufio.NewScanner(response.Body)
	for events < most && lines.Scan() {
		line := lines.Text()
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			last = id
			events++
		}
		done = done || line == "data: [DONE]"
	}
	return events, last, done
}

const processQuestion = `{"model":"isoraklet","stream":true,"seed":7,"messages":[{"role":"user","content":"tokens=100 ice"}]}`

// TestProcesses serves requests by separate processes, kills one instance with an answer in flight and stops the other.
func TestProcesses(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newProcesses(t)
	first, firstCallers, firstOperators := p.instance("first")
	second, secondCallers, secondOperators := p.instance("second")
	p.publish([]string{firstOperators, secondOperators}, p.catalogue()...)

	response := p.ask(http.MethodPost, "http://"+firstCallers+"/v1/chat/completions", "", processQuestion)
	is.Equal(response.StatusCode, http.StatusOK)
	before, last, _ := count(response, 20)
	is.Equal(before, 20)
	is.NoErr(first.Process.Kill())
	resumed := p.ask(http.MethodGet, "http://"+secondCallers+"/v1/answers/"+response.Header.Get("Answer-Id"), last, "")
	is.Equal(resumed.StatusCode, http.StatusOK)
	after, _, done := count(resumed, 1<<20)
	is.True(done)
	// 100 tokens; the usage chunk may carry an id as well.
	is.True(before+after >= 100 && before+after <= 101)

	draining := p.ask(http.MethodPost, "http://"+secondCallers+"/v1/chat/completions", "", processQuestion)
	is.NoErr(second.Process.Signal(syscall.SIGTERM))
	p.await("not ready", func() bool {
		r, err := http.Get("http://" + secondCallers + "/readyz")
		if err != nil {
			return false
		}
		_ = r.Body.Close()
		return r.StatusCode == http.StatusServiceUnavailable
	})
	is.NoErr(second.Process.Signal(syscall.SIGTERM))
	_, _, done = count(draining, 1<<20)
	is.True(done)
	is.NoErr(second.Wait())
}
