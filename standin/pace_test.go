package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/sourcegraph/conc"
)

// BenchmarkPace serves 200 streams on each of 12 engines over loopback and reports the process's processor time per second, clients included.
func BenchmarkPace(b *testing.B) {
	const engines, streams = 12, 200
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streams}}
	for b.Loop() {
		began, used := time.Now(), processorTime(b)
		var tasks conc.WaitGroup
		var closers []io.Closer
		for i := range engines {
			e := NewEngine(EngineConfig{Name: fmt.Sprint(i), Model: "ice", Version: "1"})
			closers = append(closers, e)
			address, err := e.Listen(anyPort)
			if err != nil {
				b.Fatal(err)
			}
			for range streams {
				tasks.Go(func() { drain(b, client, "http://"+address.String()) })
			}
		}
		tasks.Wait()
		took := time.Since(began).Seconds()
		b.ReportMetric((processorTime(b)-used)/took, "cores")
		b.ReportMetric(engines*streams*100/took, "tokens/s")
		for _, c := range closers {
			_ = c.Close()
		}
	}
}

func drain(b *testing.B, client *http.Client, url string) {
	body := `{"model":"ice","stream":true,"prompt":"tokens=100"}`
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader(body))
	if err != nil {
		b.Error(err)
		return
	}
	response, err := client.Do(request)
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = response.Body.Close() }()
	all, err := io.ReadAll(response.Body)
	if err != nil || strings.Count(string(all), `"index":`) != 200 {
		b.Errorf("%v, %d bytes", err, len(all))
	}
}

// processorTime returns the seconds that the process has used.
func processorTime(b *testing.B) float64 {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}
