package control

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sourcegraph/conc/pool"

	"dogwooddyke/internal/wait"
)

// call sends requests to all instances at the rate until the context ends.
func (f *fleet) call(ctx context.Context, o *CostOptions, entries int) {
	nodes := f.live()
	random := rand.New(rand.NewPCG(o.Seed, 5))
	workers := pool.New().WithMaxGoroutines(maximumOpen)
	defer workers.Wait()
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maximumOpen}}
	defer client.CloseIdleConnections()
	rate := o.Rate * float64(len(nodes))
	for next := time.Now(); wait.For(ctx, time.Until(next)) == nil; {
		next = next.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
		at := "http://" + nodes[random.IntN(len(nodes))].Settings.Callers.String() + "/v1/completions"
		body := fmt.Sprintf(`{"model":%q,"prompt":"%d tokens=%d","stream":true}`,
			entryName(random.IntN(entries)), random.Uint64(), 1+random.IntN(2*meanTokens))
		key := workspaceKey(workspaceName(random.IntN(workspaceCount)))
		workers.Go(func() { post(ctx, client, at, key, body) })
	}
}

// post sends one request and reads its answer to the end; refusals are no concern of this experiment.
func post(ctx context.Context, client *http.Client, at, key, body string) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, at, bytes.NewReader([]byte(body)))
	if err != nil {
		return
	}
	request.Header.Set("Authorization", "Bearer "+key)
	request.Header.Set("Content-Type", "application/json")
	response, err := client.Do(request)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
