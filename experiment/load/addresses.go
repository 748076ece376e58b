package load

import (
	"encoding/json"
	"fmt"
	"os"
)

// Keys gives the key of each workspace.
type Keys map[string]string

// Endpoints gives the base URLs of each entry's endpoints.
type Endpoints map[string][]string

// Addresses says where a running fleet and its stand-ins listen.
type Addresses struct {
	Instances   []string  `json:"instances"` // base URLs for callers
	Operators   []string  `json:"operators"` // base URLs for operators, in the same order
	Endpoints   Endpoints `json:"endpoints"`
	Log         string    `json:"log"`
	Roster      string    `json:"roster"`
	WeightStore string    `json:"weightStore"`
	Keys        Keys      `json:"keys"`
}

// ReadAddresses reads the file that a held demo writes.
func ReadAddresses(name string) (*Addresses, error) {
	a := &Addresses{}
	if err := readJSON(name, a); err != nil {
		return nil, err
	}
	if len(a.Instances) == 0 {
		return nil, fmt.Errorf("%s: instances: missing", name)
	}
	return a, nil
}

// Write writes the addresses as JSON, whole or not at all.
func (a *Addresses) Write(name string) error {
	data, err := json.MarshalIndent(a, "", "  ")
	if err != nil {
		return err
	}
	part := name + ".part"
	if err := os.WriteFile(part, append(data, '\n'), 0o600); err != nil {
		return err
	}
	return os.Rename(part, name)
}

// ReadKeys reads a JSON object of workspaces and their keys.
func ReadKeys(name string) (Keys, error) {
	var keys Keys
	err := readJSON(name, &keys)
	return keys, err
}

func readJSON(name string, into any) error {
	data, err := os.ReadFile(name)
	if err != nil {
		return err
	}
	if err := json.Unmarshal(data, into); err != nil {
		return fmt.Errorf("%s: %w", name, err)
	}
	return nil
}

// TakeKeys replaces the keys of the profile's workspaces; a workspace without one keeps the demo's.
func (p *Profile) TakeKeys(keys Keys) {
	for i := range p.Workspaces {
		w := &p.Workspaces[i]
		if key, ok := keys[w.Name]; ok {
			w.Key = key
		}
	}
}
