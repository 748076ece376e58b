package main

import (
	"bytes"
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
)

// Signals that come while requests are in progress cut none: settings that are read again, whole or spoilt, and each further signal during a stop.
func TestSignalCutsRequest(t *testing.T) {
	is := is.New(t)
	binary := filepath.Join(t.TempDir(), "dogwooddyke")
	if output, err := exec.Command("go", "build", "-o", binary, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, output)
	}
	log, engines := standin.NewLog(), standin.NewEngines()
	t.Cleanup(log.Close)
	desk, model := engines.Start("d-1"), engines.Start("m-1")
	t.Cleanup(desk.Close)
	t.Cleanup(model.Close)
	log.Put(platform.TopicEndpoints, "d-1", desk.Entry("desk", "a", "ready"))
	log.Put(platform.TopicEndpoints, "m-1", model.Entry("model", "a", "ready"))
	log.Put(platform.TopicOperator, platform.KeyCatalogue, standin.Catalogue(1, "desk"))
	signalled := make(chan struct{})
	desk.Fail(func(_ http.ResponseWriter, r *http.Request) bool {
		if strings.HasSuffix(r.URL.Path, "/wait") {
			<-signalled
		}
		return false
	})
	var ports [3]int
	for n := range ports {
		port, err := standin.FreePort()
		is.NoErr(err)
		ports[n] = port
	}
	file := filepath.Join(t.TempDir(), "settings.ini")
	settings := fmt.Sprintf("[instance]\nname = i-1\naddress = 127.0.0.1\ndataCentre = a\ncallers = 127.0.0.1:%d\nreadiness = 127.0.0.1:%d\n"+
		"firstPeerPort = %d\nlastPeerPort = %d\n[log]\naddress = %s\n", ports[0], ports[1], ports[2], ports[2]+4, log.Address())
	write := func(text string) { is.NoErr(os.WriteFile(file, []byte(text), 0o600)) }
	write(settings)
	var lines bytes.Buffer // read once the process has ended
	process := exec.Command(binary, "--hosted", "--settings", file)
	process.Stdout = &lines
	is.NoErr(process.Start())
	ended := make(chan error, 1)
	go func() { ended <- process.Wait() }()
	t.Cleanup(func() { _ = process.Process.Kill() })
	send := func(method, path, tokens string) (*http.Response, error) {
		request, err := http.NewRequest(method, fmt.Sprintf("http://127.0.0.1:%d%s", ports[0], path), nil)
		is.NoErr(err)
		request.Host = standin.Host
		request.Header.Set(standin.HeaderRequest, strings.Trim(path, "/"))
		request.Header.Set(standin.HeaderKey, standin.Key)
		request.Header.Set(standin.HeaderTokens, tokens)
		return http.DefaultClient.Do(request)
	}
	eventually := func(what string, holds func() bool) {
		t.Helper()
		for limit := time.Now().Add(30 * time.Second); time.Now().Before(limit); time.Sleep(20 * time.Millisecond) {
			if holds() {
				return
			}
		}
		t.Fatalf("never came: %s", what)
	}
	eventually("ready", func() bool {
		response, err := http.Get(fmt.Sprintf("http://127.0.0.1:%d%s", ports[1], standin.PathReadiness))
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	})
	type answer struct {
		status int
		body   string
		err    error
	}
	answers := make(chan answer, 2)
	for _, r := range [][3]string{{"POST", "/long/", "100,400"}, {"POST", "/write/wait", ""}} {
		go func() {
			response, err := send(r[0], r[1], r[2])
			if err != nil {
				answers <- answer{err: err}
				return
			}
			defer func() { _ = response.Body.Close() }()
			body, err := io.ReadAll(response.Body)
			answers <- answer{response.StatusCode, string(body), err}
		}()
	}
	eventually("requests at the endpoints", func() bool { return len(desk.Seen()) == 1 && len(model.Seen()) == 1 })
	signal := func(s syscall.Signal) {
		is.NoErr(process.Process.Signal(s))
		time.Sleep(50 * time.Millisecond)
	}
	write(settings + "memoryBytes = many\n")
	signal(syscall.SIGHUP)
	write(strings.Replace(settings, "name = i-1", "name = i-2", 1))
	signal(syscall.SIGHUP)
	for _, s := range []syscall.Signal{syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		signal(s)
	}
	close(signalled)
	for range 2 {
		a := <-answers
		is.NoErr(a.err)
		is.Equal(a.status, http.StatusOK)
		is.True(strings.HasPrefix(a.body, "answer of d-1") || strings.Count(a.body, "data: long-") == 400)
	}
	is.NoErr(<-ended)
	for _, line := range []string{"settings not reloaded", `"settings read again","instance":"i-1","changed":true`, `"draining"`} {
		is.True(strings.Contains(lines.String(), line))
	}
}
