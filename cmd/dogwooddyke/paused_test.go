package main

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// keyedCall is what a caller was told of one call under a key.
type keyedCall struct {
	status  int
	outcome string
	keyRun  int // number of the run under the key, as the service counted it
}

func (p *processes) callOnce(callers, key, body string) keyedCall {
	is := is.New(p.t)
	request, err := http.NewRequestWithContext(p.t.Context(), http.MethodPost, "http://"+callers+"/call/soundings/log", strings.NewReader(body))
	is.NoErr(err)
	request.Header.Set("Authorization", "Bearer "+processKey)
	request.Header.Set("Idempotency-Key", key)
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	is.NoErr(err)
	told := keyedCall{status: response.StatusCode, outcome: response.Header.Get("Outcome")}
	if told.status == http.StatusOK {
		var run struct {
			KeyRun int `json:"keyRun"`
		}
		is.NoErr(json.Unmarshal(data, &run))
		told.keyRun = run.KeyRun
	}
	return told
}

// TestPausedInstance stops an instance in the midst of its stewardships, lets others take over and wakes it again, while
// callers log measurements under keys and repeat each one elsewhere.
func TestPausedInstance(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	p := newProcesses(t)
	service := freeAddresses(t, 1)[0]
	p.start("dykectl", "standin", "service", "--listen", service)
	var callers, operators []string
	paused, awakeCallers, awakeOperators := p.instance("paused")
	for _, name := range []string{"second", "third"} {
		_, c, o := p.instance(name)
		callers, operators = append(callers, c), append(operators, o)
	}
	files := append(p.catalogue(), p.write("soundings.ini", "[entry]\nname = soundings\nowner = islaget\nkind = service\nclass = sounding\n"+
		"keyRule = required\nqueueTimeout = 20s\n[endpoint "+service+"]\ndataCentre = lulea-a\n"))
	p.publish(append(operators, awakeOperators), files...)

	calls, runs := 0, 0
	logSome := func(count int, at ...string) {
		for range count {
			calls++
			key := "key-" + strconv.Itoa(calls)
			first := p.callOnce(at[calls%len(at)], key, "12 cm")
			again := p.callOnce(at[(calls+1)%len(at)], key, "12 cm")
			if first.status == http.StatusOK {
				runs++
				is.Equal(first.keyRun, 1)
				is.Equal(again, first)
			}
			if again.status == http.StatusOK {
				is.Equal(again.keyRun, 1)
			}
		}
	}
	logSome(20, append(callers, awakeCallers)...)
	is.NoErr(paused.Process.Signal(syscall.SIGSTOP))
	logSome(20, callers...) // some wait until the stopped one's partitions are taken over
	is.NoErr(paused.Process.Signal(syscall.SIGCONT))
	logSome(20, append(callers, awakeCallers)...)
	time.Sleep(2 * time.Second) // whatever the woken one still had to append
	logSome(20, append(callers, awakeCallers)...)
	is.Equal(runs, calls)
}
