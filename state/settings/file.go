package settings

import (
	"gopkg.in/ini.v1"
)

// Parse parses INI text of at most limit bytes and adds its faults to the list; it supports neither continuation lines nor references
// to other fields. It keeps duplicate sections and fields, so that later checks can report them.
func Parse(data []byte, limit int, faults *Faults) *ini.File {
	if len(data) > limit {
		faults.Add("file", "", "is larger than %d bytes", limit)
		return ini.Empty()
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
	}, data)
	if err != nil {
		faults.Add("file", "", "%s", Clip(err.Error()))
		return ini.Empty()
	}
	if keys := file.Section(ini.DefaultSection).Keys(); len(keys) > 0 {
		faults.Add("file", keys[0].Name(), "stands before any section")
	}
	return file
}

// Sections returns the fields of each named section, without any fields if the section is absent, and adds a fault for each section
// that is unknown or a duplicate.
func Sections(file *ini.File, faults *Faults, names ...string) map[string]*Fields {
	found := make(map[string]*Fields, len(names))
	for _, n := range names {
		found[n] = nil
	}
	for _, s := range file.Sections() {
		if s.Name() == ini.DefaultSection {
			continue
		}
		if known, ok := found[s.Name()]; !ok || known != nil {
			faults.Add(s.Name(), "", "is an unknown section or stands twice")
			continue
		}
		found[s.Name()] = NewFields(s, faults)
	}
	empty := ini.Empty()
	for _, n := range names {
		if found[n] == nil {
			found[n] = NewFields(empty.Section(n), faults)
		}
	}
	return found
}
