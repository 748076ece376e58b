package main

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"dogwooddyke/platform"
	"dogwooddyke/platform/standin"
	"dogwooddyke/state/explanation"
)

// hostedProcess is the real binary on stand-ins of the platform.
type hostedProcess struct {
	t       *testing.T
	binary  string
	file    string // of its settings
	ports   [4]int // for callers, readiness, peers and metrics
	engine  *standin.Engine
	model   *standin.Engine
	process *exec.Cmd
	ended   chan error
}

// startHosted starts the binary with further settings, which writes its lines to the output.
func startHosted(t *testing.T, further string, output io.Writer) *hostedProcess {
	t.Helper()
	is := is.New(t)
	h := &hostedProcess{t: t, binary: filepath.Join(t.TempDir(), "dogwooddyke"), file: filepath.Join(t.TempDir(), "settings.ini"), ended: make(chan error, 1)}
	build := exec.Command("go", "build", "-o", h.binary, ".")
	text, err := build.CombinedOutput()
	if err != nil {
		t.Fatalf("%v: %s", err, text)
	}
	log, engines := standin.NewLog(), standin.NewEngines()
	t.Cleanup(log.Close)
	h.engine, h.model = engines.Start("d-1"), engines.Start("m-1")
	t.Cleanup(h.engine.Close)
	t.Cleanup(h.model.Close)
	log.Put(platform.TopicEndpoints, "d-1", h.engine.Entry("desk", "a", "ready"))
	log.Put(platform.TopicEndpoints, "m-1", h.model.Entry("model", "a", "ready"))
	log.Put(platform.TopicOperator, platform.KeyCatalogue, standin.Catalogue(1, "desk"))
	for n := range h.ports {
		h.ports[n], err = standin.FreePort()
		is.NoErr(err)
	}
	settings := fmt.Sprintf("[instance]\nname = i-1\naddress = 127.0.0.1\ndataCentre = a\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"+
		"firstPeerPort = %d\nlastPeerPort = %d\nmetrics = 127.0.0.1:%d\n[log]\naddress = %s\n%s", h.ports[0], h.ports[1], h.ports[2], h.ports[2]+4, h.ports[3], log.Address(), further)
	is.NoErr(os.WriteFile(h.file, []byte(settings), 0o600))

	h.process = exec.Command(h.binary, "--hosted")
	h.process.Env = append(os.Environ(), platform.SettingsVariable+"="+h.file)
	h.process.Stdout = output
	is.NoErr(h.process.Start())
	go func() { h.ended <- h.process.Wait() }()
	t.Cleanup(func() { _ = h.process.Process.Kill() })
	h.eventually("ready", func() bool { return h.get(h.ports[1], standin.PathReadiness) == http.StatusOK })
	return h
}

// send sends a request and returns its response, nil if there is none.
func (h *hostedProcess) send(method string, port int, path, id string) *http.Response {
	request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s", port, path), nil)
	if err != nil {
		h.t.Fatal(err)
	}
	request.Host = standin.Host
	request.Header.Set(standin.HeaderRequest, id)
	request.Header.Set(standin.HeaderKey, standin.Key)
	if method == http.MethodPost {
		request.Header.Set(standin.HeaderTokens, "100,2900") // a stream
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil
	}
	h.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// get returns the status of the answer, 0 if there is none.
func (h *hostedProcess) get(port int, path string) int {
	response := h.send(http.MethodGet, port, path, "a1")
	if response == nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

func (h *hostedProcess) eventually(what string, holds func() bool) {
	h.t.Helper()
	for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	h.t.Fatalf("never came: %s", what)
}

// The real binary starts by the platform's settings, serves, reads its settings again and drains.
func TestHostedProcess(t *testing.T) {
	is := is.New(t)
	h := startHosted(t, "", nil)
	is.NoErr(exec.Command(h.binary, "--hosted", "--settings", h.file, "--checkSettings").Run())
	h.eventually("an answer", func() bool { return h.get(h.ports[0], "/read/x") == http.StatusOK })
	is.Equal(h.get(h.ports[3], "/metrics"), http.StatusOK)
	is.NoErr(h.process.Process.Signal(syscall.SIGHUP))
	is.Equal(h.get(h.ports[0], "/read/x"), http.StatusOK)
	is.NoErr(h.process.Process.Signal(syscall.SIGTERM))
	h.eventually("not ready", func() bool { return h.get(h.ports[1], standin.PathReadiness) != http.StatusOK })
	is.NoErr(<-h.ended)
}

// startStream sends a request for a stream that is longer than the grace period, and reads its first bytes.
func (h *hostedProcess) startStream() *http.Response {
	h.t.Helper()
	is := is.New(h.t)
	var response *http.Response
	h.eventually("stream", func() bool {
		response = h.send(http.MethodPost, h.ports[0], "/long/", "cut")
		return response != nil && response.StatusCode == http.StatusOK
	})
	_, err := response.Body.Read(make([]byte, 10))
	is.NoErr(err)
	return response
}

// The last lines of a process, which tell of the answers that a stop has cut, and of the stop, did not leave it.
func TestHostedProcessLosesLastLines(t *testing.T) {
	is := is.New(t)
	output := &bytes.Buffer{}
	h := startHosted(t, "[bounds]\ngraceSeconds = 4\n", output)
	response := h.startStream()
	is.NoErr(h.process.Process.Signal(syscall.SIGTERM))
	_, err := io.Copy(io.Discard, response.Body)
	is.True(err != nil) // breaks off visibly
	is.NoErr(<-h.ended) // all that was written has been read then
	log := &explanation.Log{}
	text := output.String()
	is.NoErr(log.Read(output))
	is.True(strings.Contains(explanation.Cause(log.Timeline("cut")), "interrupted (closing) at endpoint m-1"))
	is.Equal(strings.Count(text, `"msg":"stopped"`), 1)
}

// A process whose lines are not read must end by itself all the same.
func TestHostedProcessWaitsForReaderOfLines(t *testing.T) {
	is := is.New(t)
	reader, writer, err := os.Pipe()
	is.NoErr(err)
	t.Cleanup(func() { _ = reader.Close() })
	is.NoErr(writer.SetWriteDeadline(time.Now().Add(time.Second)))
	_, err = writer.Write(make([]byte, 8<<20)) // fills the pipe
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	h := startHosted(t, "[bounds]\ngraceSeconds = 4\n", writer)
	is.NoErr(writer.Close())
	response := h.startStream()
	is.NoErr(h.process.Process.Signal(syscall.SIGTERM))
	_, err = io.Copy(io.Discard, response.Body)
	is.True(err != nil)
	is.NoErr(<-h.ended)
}
