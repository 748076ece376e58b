package load

import (
	"strings"

	"gopkg.in/ini.v1"
)

// ParseProfile reads a profile in INI form; the error lists every fault with section, field and reason.
func ParseProfile(file string, data []byte) (*Profile, error) {
	parsed, err := ini.LoadSources(ini.LoadOptions{SpaceBeforeInlineComment: true}, data)
	if err != nil {
		return nil, &ProfileError{File: file, Faults: []Fault{{Reason: err.Error()}}}
	}
	r := &reader{file: file}
	p := &Profile{}
	for _, s := range parsed.Sections() {
		r.section(p, s)
	}
	r.whole(p)
	if len(r.faults) > 0 {
		return nil, &ProfileError{File: file, Faults: r.faults}
	}
	return p, nil
}

func (r *reader) section(p *Profile, s *ini.Section) {
	kind, name, _ := strings.Cut(s.Name(), " ")
	r.open(s)
	switch {
	case s.Name() == ini.DefaultSection && len(s.Keys()) == 0:
		return
	case s.Name() == "profile":
		r.profile(p)
	case kind == "workspace" && name != "":
		p.Workspaces = append(p.Workspaces, r.workspace(name))
	case kind == "mix" && name != "":
		p.Mixes = append(p.Mixes, r.mix(name))
	default:
		r.fault("", "unknown section")
		return
	}
	r.close()
}

func (r *reader) profile(p *Profile) {
	p.Name = r.text("name")
	p.Shape.BurstFactor = r.number("burstFactor", 1, 100)
	p.Shape.BurstLength = r.span("burstLength")
	p.Shape.CalmLength = r.span("calmLength")
	p.StallBound = r.span("stallBound")
}

func (r *reader) workspace(name string) Workspace {
	return Workspace{Name: name, Key: r.text("key"), Share: r.number("share", 0, 1e6)}
}

func (r *reader) mix(name string) Mix {
	m := Mix{Name: name, Kind: Kind(r.text("kind")), Entry: r.text("entry"), Share: r.number("share", 0, 1e6)}
	switch m.Kind {
	case KindStream, KindWhole:
		r.generation(&m)
	case KindCall:
		m.Path = r.text("path")
		m.PromptBytes = int(r.number("promptBytes", 0, 1<<20))
		m.Repeat = r.number("repeat", 0, 1)
	case KindLookup:
		m.Path = r.text("path")
	default:
		r.fault("kind", "not one of stream, whole, call, lookup")
	}
	return m
}

func (r *reader) generation(m *Mix) {
	m.SharedBytes = int(r.number("sharedBytes", 0, 1<<20))
	m.PromptBytes = int(r.number("promptBytes", 0, 1<<20))
	m.Tokens.Median = r.number("tokensMedian", 1, 1e6)
	m.Tokens.Sigma = r.number("tokensSigma", 0, 4)
	m.Tokens.Maximum = int(r.number("tokensMaximum", 1, 1e6))
}

// whole checks what no single section shows.
func (r *reader) whole(p *Profile) {
	r.name = "profile"
	if p.Name == "" && len(r.faults) == 0 {
		r.fault("name", "section is missing")
	}
	if !positive(p.Workspaces, func(w Workspace) float64 { return w.Share }) {
		r.fault("", "no workspace with a share")
	}
	if !positive(p.Mixes, func(m Mix) float64 { return m.Share }) {
		r.fault("", "no mix with a share")
	}
}

func positive[T any](items []T, share func(T) float64) bool {
	total := 0.0
	for _, i := range items {
		total += share(i)
	}
	return total > 0
}
