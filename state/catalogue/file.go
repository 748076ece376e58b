package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"

	"dogwooddyke/state/settings"
)

// File is the content of one INI file, which holds either an entry or a workspace, never both.
type File struct {
	Entry     *Entry
	Workspace *Workspace
}

// Subject returns the kind and name of the entry or workspace in the file.
func (f File) Subject() Subject {
	if f.Entry != nil {
		return Subject{Kind: SubjectEntry, Name: f.Entry.Name}
	}
	return Subject{Kind: SubjectWorkspace, Name: f.Workspace.Name}
}

// ParseFile parses an INI file; the error is of type Faults and lists the faults of the whole file, not only the first.
func ParseFile(name string, data []byte) (File, error) {
	file, faults := parseFile(data)
	if len(faults) > 0 {
		return File{}, faults.WithFile(name)
	}
	return file, nil
}

func parseFile(data []byte) (File, Faults) {
	var faults Faults
	source := settings.Parse(data, MaximumFileBytes, &faults)
	if len(faults) > 0 {
		return File{}, faults
	}
	return parseSections(source)
}

func parseSections(source *ini.File) (File, Faults) {
	var file File
	var faults Faults
	var endpoints []Endpoint
	for _, s := range source.Sections() {
		switch name := s.Name(); {
		case name == ini.DefaultSection:
		case name == "entry" && file.Entry == nil:
			file.Entry = parseEntry(s, &faults)
		case name == "workspace" && file.Workspace == nil:
			file.Workspace = parseWorkspace(s, &faults)
		case strings.HasPrefix(name, "endpoint "):
			endpoints = append(endpoints, parseEndpoint(s, &faults))
		default:
			faults.Add(name, "", "is an unknown section or stands twice")
		}
	}
	switch {
	case (file.Entry == nil) == (file.Workspace == nil):
		faults.Add("file", "", "must have exactly one section [entry] or [workspace]")
	case file.Entry != nil:
		file.Entry.Endpoints = endpoints
		faults = append(faults, file.Entry.Validate()...)
	default:
		if len(endpoints) > 0 {
			faults.Add("workspace", "", "has no endpoints")
		}
		faults = append(faults, file.Workspace.Validate()...)
	}
	return file, faults
}

func parseEntry(s *ini.Section, faults *Faults) *Entry {
	f := settings.NewFields(s, faults)
	e := &Entry{
		Name:          f.Text("name"),
		Owner:         f.Text("owner"),
		Kind:          Kind(f.Text("kind")),
		Class:         f.Text("class"),
		Priority:      f.UnboundedInteger("priority"),
		Workspaces:    f.List("workspaces"),
		Limits:        parseLimits(f),
		Model:         f.Text("model"),
		Version:       f.Text("version"),
		Adapters:      f.List("adapters"),
		Repeatable:    f.Flag("repeatable"),
		ChecksFence:   f.Flag("checksFence"),
		MinimumReady:  f.UnboundedInteger("minimumReady"),
		KeyRule:       KeyRule(f.Text("keyRule")),
		QueueTimeout:  f.UnboundedDuration("queueTimeout"),
		AnswerTimeout: f.UnboundedDuration("answerTimeout"),
		MaximumTokens: f.UnboundedInteger("maximumTokens"),
	}
	f.CheckUnknown()
	return e
}

func parseEndpoint(s *ini.Section, faults *Faults) Endpoint {
	f := settings.NewFields(s, faults)
	text := strings.TrimSpace(strings.TrimPrefix(s.Name(), "endpoint "))
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		faults.Add(s.Name(), "address", "%q is not an IP number and port", settings.Clip(text))
	}
	p := Endpoint{
		Address:    address,
		DataCentre: f.Text("dataCentre"),
		Role:       f.Text("role"),
		Leaving:    f.Flag("leaving"),
	}
	f.CheckUnknown()
	return p
}

func parseWorkspace(s *ini.Section, faults *Faults) *Workspace {
	f := settings.NewFields(s, faults)
	w := &Workspace{
		Name:      f.Text("name"),
		Owner:     f.Text("owner"),
		KeyHashes: f.List("keyHashes"),
		Limits:    parseLimits(f),
	}
	f.CheckUnknown()
	return w
}

func parseLimits(f *settings.Fields) Limits {
	return Limits{
		Concurrency:       f.UnboundedInteger("concurrency"),
		RequestsPerSecond: f.UnboundedInteger("requestsPerSecond"),
		TokensPerSecond:   f.UnboundedInteger("tokensPerSecond"),
	}
}

// HashKey returns the SHA-256 hash (hex) under which the catalogue stores a workspace's API key.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
