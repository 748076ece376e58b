package control

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"

	"dogwooddyke/standin"
)

// remoteList changes the list of a roster in another process.
type remoteList struct {
	base string
}

// newRemoteSite returns a site whose stand-ins run in another process.
func newRemoteSite(a *Addresses) *site {
	return &site{Addresses: *a, list: remoteList{"http://" + a.Roster.String() + "/instances"}}
}

// Put adds or changes a row.
func (l remoteList) Put(row standin.Instance) error {
	data, err := json.Marshal(row)
	if err != nil {
		return err
	}
	return l.do(http.MethodPut, l.base, data)
}

// Delete removes a row.
func (l remoteList) Delete(address netip.AddrPort) {
	_ = l.do(http.MethodDelete, l.base+"?address="+url.QueryEscape(address.String()), nil)
}

func (l remoteList) do(method, at string, data []byte) error {
	request, err := http.NewRequest(method, at, bytes.NewReader(data))
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusNoContent {
		return fmt.Errorf("%s %s: status %d", method, at, response.StatusCode)
	}
	return nil
}
