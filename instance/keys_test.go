package instance

import (
	"net/http"
	"testing"

	"github.com/matryer/is"
)

// TestRotateTokenKey goes on with an answer across each step of a rotation.
func TestRotateTokenKey(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 0, 1)
	i := f.instances[0]
	oldKey, newKey := []byte(testTokenKey), []byte("the-next-token-key-of-the-tests-012345")
	response := f.post(0, longQuestion)
	events := readEvents(response.Body, 5)
	resume := func() int {
		again := f.request(0, http.MethodGet, "/v1/answers/"+response.Header.Get("Answer-Id"), "")
		again.Header.Set("Last-Event-ID", events[len(events)-1].id)
		return f.do(again, is).StatusCode
	}
	settings := *i.settings
	settings.TokenKeys = [][]byte{newKey, oldKey}
	i.Reload(&settings)
	is.Equal(resume(), http.StatusOK)
	settings.TokenKeys = [][]byte{newKey}
	i.Reload(&settings)
	is.Equal(resume(), http.StatusBadRequest)
	settings.TokenKeys = [][]byte{[]byte("short")}
	i.Reload(&settings)
	is.Equal(resume(), http.StatusBadRequest)
	settings.TokenKeys = [][]byte{oldKey}
	i.Reload(&settings)
	is.Equal(resume(), http.StatusOK)
}
