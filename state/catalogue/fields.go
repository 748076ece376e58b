package catalogue

import (
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// fields reads one section and lists the fields that nobody asked for.
type fields struct {
	section *ini.Section
	faults  *Faults
	unread  map[string]bool
}

func newFields(s *ini.Section, faults *Faults) *fields {
	f := &fields{section: s, faults: faults, unread: map[string]bool{}}
	for _, k := range s.Keys() {
		f.unread[k.Name()] = true
		if len(k.ValueWithShadows()) > 1 {
			faults.add(s.Name(), k.Name(), "stands twice")
		}
	}
	return f
}

// raw does not look in other sections and does not expand %(name)s.
func (f *fields) raw(field string) string {
	for _, k := range f.section.Keys() {
		if k.Name() == field {
			delete(f.unread, field)
			return strings.TrimSpace(k.Value())
		}
	}
	return ""
}

func (f *fields) text(field string) string { return f.raw(field) }

func (f *fields) number(field string) int {
	text := f.raw(field)
	if text == "" {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		f.faults.add(f.section.Name(), field, "%q is not a whole number", clip(text))
	}
	return number
}

func (f *fields) flag(field string) bool {
	switch text := f.raw(field); text {
	case "", "false":
		return false
	case "true":
		return true
	default:
		f.faults.add(f.section.Name(), field, "%q is neither true nor false", clip(text))
		return false
	}
}

func (f *fields) duration(field string) time.Duration {
	text := f.raw(field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		f.faults.add(f.section.Name(), field, "%q is not a duration such as 30s", clip(text))
	}
	return duration
}

func (f *fields) list(field string) []string {
	text := f.raw(field)
	if text == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

func (f *fields) limits() Limits {
	return Limits{
		Concurrency:       f.number("concurrency"),
		RequestsPerSecond: f.number("requestsPerSecond"),
		TokensPerSecond:   f.number("tokensPerSecond"),
	}
}

func (f *fields) done() {
	for _, k := range f.section.Keys() {
		if f.unread[k.Name()] {
			f.faults.add(f.section.Name(), k.Name(), "is an unknown field")
		}
	}
}
