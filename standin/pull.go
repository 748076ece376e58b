package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"
)

// requestPull asks a weight store once and returns whether it gave the weights, or how long to wait.
func requestPull(ctx context.Context, store netip.AddrPort, name, version string) (done bool, wait time.Duration) {
	body, err := json.Marshal(struct {
		Model   string `json:"model"`
		Version string `json:"version"`
	}{name, version})
	if err != nil {
		return false, 0
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+store.String()+"/pulls", bytes.NewReader(body))
	if err != nil {
		return false, 0
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false, 0
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusOK {
		return true, 0
	}
	return false, retryAfter(response.Header)
}
