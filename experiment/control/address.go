package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"os"
)

// Addresses say where the stand-ins of another process listen.
type Addresses struct {
	Log     netip.AddrPort   `json:"log"`
	Roster  netip.AddrPort   `json:"roster"`
	Engines []netip.AddrPort `json:"engines"`
}

// ReadAddresses reads a file that Serve's caller wrote.
func ReadAddresses(name string) (*Addresses, error) {
	data, err := os.ReadFile(name)
	if err != nil {
		return nil, err
	}
	a := &Addresses{}
	return a, json.Unmarshal(data, a)
}

// Write writes the file.
func (a *Addresses) Write(name string) error {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(name, append(data, '\n'), 0o644)
}

// Serve runs the stand-ins alone until the context ends, so that what instances cost can be measured in another process.
func Serve(ctx context.Context, engines int, ready func(*Addresses) error) error {
	s, err := startSite(engines, 0)
	if err != nil {
		return err
	}
	if err := ready(&s.Addresses); err != nil {
		_ = s.close()
		return err
	}
	<-ctx.Done()
	return s.close()
}
