package catalogue

import (
	"crypto/sha256"
	"encoding/hex"
	"net/netip"
	"strings"

	"gopkg.in/ini.v1"
)

// File is the content of one INI file: exactly one of an entry and a workspace.
type File struct {
	Entry     *Entry
	Workspace *Workspace
}

// Subject returns what the file describes.
func (f File) Subject() Subject {
	if f.Entry != nil {
		return Subject{Kind: SubjectEntry, Name: f.Entry.Name}
	}
	return Subject{Kind: SubjectWorkspace, Name: f.Workspace.Name}
}

// ParseFile reads an INI file whole; the error is of type Faults and lists every fault.
func ParseFile(name string, data []byte) (File, error) {
	file, faults := parseFile(data)
	for i := range faults {
		faults[i].File = name
	}
	if len(faults) > 0 {
		return File{}, faults
	}
	return file, nil
}

func parseFile(data []byte) (File, Faults) {
	var faults Faults
	if len(data) > MaximumFileBytes {
		faults.add("file", "", "is larger than %d bytes", MaximumFileBytes)
		return File{}, faults
	}
	source, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		SkipUnrecognizableLines:    false,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
	}, data)
	if err != nil {
		faults.add("file", "", "%s", clip(err.Error()))
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
			if len(s.Keys()) > 0 {
				faults.add("file", s.Keys()[0].Name(), "stands before any section")
			}
		case name == "entry" && file.Entry == nil:
			file.Entry = parseEntry(s, &faults)
		case name == "workspace" && file.Workspace == nil:
			file.Workspace = parseWorkspace(s, &faults)
		case strings.HasPrefix(name, "endpoint "):
			endpoints = append(endpoints, parseEndpoint(s, &faults))
		default:
			faults.add(name, "", "is an unknown section or stands twice")
		}
	}
	switch {
	case (file.Entry == nil) == (file.Workspace == nil):
		faults.add("file", "", "must have exactly one section [entry] or [workspace]")
	case file.Entry != nil:
		file.Entry.Endpoints = endpoints
		faults = append(faults, file.Entry.Validate()...)
	default:
		if len(endpoints) > 0 {
			faults.add("workspace", "", "has no endpoints")
		}
		faults = append(faults, file.Workspace.Validate()...)
	}
	return file, faults
}

func parseEntry(s *ini.Section, faults *Faults) *Entry {
	f := newFields(s, faults)
	e := &Entry{
		Name:          f.text("name"),
		Owner:         f.text("owner"),
		Kind:          Kind(f.text("kind")),
		Class:         f.text("class"),
		Priority:      f.number("priority"),
		Workspaces:    f.list("workspaces"),
		Limits:        f.limits(),
		Model:         f.text("model"),
		Version:       f.text("version"),
		Adapters:      f.list("adapters"),
		Repeatable:    f.flag("repeatable"),
		ChecksFence:   f.flag("checksFence"),
		MinimumReady:  f.number("minimumReady"),
		KeyRule:       KeyRule(f.text("keyRule")),
		QueueTimeout:  f.duration("queueTimeout"),
		AnswerTimeout: f.duration("answerTimeout"),
		MaximumTokens: f.number("maximumTokens"),
	}
	f.done()
	return e
}

func parseEndpoint(s *ini.Section, faults *Faults) Endpoint {
	f := newFields(s, faults)
	text := strings.TrimSpace(strings.TrimPrefix(s.Name(), "endpoint "))
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		faults.add(s.Name(), "address", "%q is not an IP number and port", clip(text))
	}
	p := Endpoint{
		Address:    address,
		DataCentre: f.text("dataCentre"),
		Role:       f.text("role"),
		Leaving:    f.flag("leaving"),
	}
	f.done()
	return p
}

func parseWorkspace(s *ini.Section, faults *Faults) *Workspace {
	f := newFields(s, faults)
	w := &Workspace{
		Name:      f.text("name"),
		Owner:     f.text("owner"),
		KeyHashes: f.list("keyHashes"),
		Limits:    f.limits(),
	}
	f.done()
	return w
}

// HashKey returns the hash under which the catalogue keeps a workspace's key.
func HashKey(key string) string {
	hash := sha256.Sum256([]byte(key))
	return hex.EncodeToString(hash[:])
}
