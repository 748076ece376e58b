package load

import (
	"fmt"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fault is one thing wrong with a profile.
type Fault struct {
	Section string
	Field   string
	Reason  string
}

// ProfileError lists every fault of a profile.
type ProfileError struct {
	File   string
	Faults []Fault
}

// Error gives one line for each fault.
func (p *ProfileError) Error() string {
	lines := make([]string, 0, len(p.Faults))
	for _, f := range p.Faults {
		lines = append(lines, fmt.Sprintf("%s: [%s] %s: %s", p.File, f.Section, f.Field, f.Reason))
	}
	return strings.Join(lines, "\n")
}

// reader takes the fields of one section at a time and gathers faults.
type reader struct {
	file   string
	name   string
	fields *ini.Section
	read   []string
	faults []Fault
}

func (r *reader) open(s *ini.Section) {
	r.name = s.Name()
	r.fields = s
	r.read = r.read[:0]
}

// close reports the fields of the section that nobody read.
func (r *reader) close() {
	known := make(map[string]bool, len(r.read))
	for _, f := range r.read {
		known[f] = true
	}
	for _, f := range r.fields.KeyStrings() {
		if !known[f] {
			r.fault(f, "unknown field")
		}
	}
}

func (r *reader) fault(field, reason string) {
	r.faults = append(r.faults, Fault{Section: r.name, Field: field, Reason: reason})
}

func (r *reader) text(field string) string {
	r.read = append(r.read, field)
	value := r.fields.Key(field).String()
	if value == "" {
		r.fault(field, "missing")
	}
	return value
}

func (r *reader) number(field string, low, high float64) float64 {
	r.read = append(r.read, field)
	if !r.fields.HasKey(field) {
		r.fault(field, "missing")
		return low
	}
	value, err := r.fields.Key(field).Float64()
	if err != nil {
		r.fault(field, "not a number")
		return low
	}
	if !(value >= low && value <= high) {
		r.fault(field, fmt.Sprintf("not between %g and %g", low, high))
		return low
	}
	return value
}

func (r *reader) span(field string) time.Duration {
	text := r.text(field)
	if text == "" {
		return time.Second
	}
	value, err := time.ParseDuration(text)
	if err != nil || value <= 0 {
		r.fault(field, "not a positive duration such as 250ms")
		return time.Second
	}
	return value
}
