package settings

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fields reads one section and lists the fields that nobody asked for.
type Fields struct {
	section *ini.Section
	faults  *Faults
	unread  map[string]bool
}

// NewFields returns the fields of a section; faults found on the way go to the list.
func NewFields(section *ini.Section, faults *Faults) *Fields {
	f := &Fields{section: section, faults: faults, unread: map[string]bool{}}
	for _, k := range section.Keys() {
		f.unread[k.Name()] = true
		if len(k.ValueWithShadows()) > 1 {
			faults.Add(section.Name(), k.Name(), "stands twice")
		}
	}
	return f
}

// Text returns the field's text, empty when it is absent; it neither looks in other sections nor expands references.
func (f *Fields) Text(field string) string {
	for _, k := range f.section.Keys() {
		if k.Name() == field {
			delete(f.unread, field)
			return strings.TrimSpace(k.Value())
		}
	}
	return ""
}

// Required returns the field's text and adds a fault when it is absent.
func (f *Fields) Required(field string) string {
	text := f.Text(field)
	if text == "" {
		f.Fault(field, "is missing")
	}
	return text
}

// Choice returns the field's text, one of the choices, the first of which stands for an absent field.
func (f *Fields) Choice(field string, choices ...string) string {
	text := f.Text(field)
	if text == "" {
		return choices[0]
	}
	for _, c := range choices {
		if text == c {
			return text
		}
	}
	f.Fault(field, "%q is not one of %s", Clip(text), strings.Join(choices, ", "))
	return choices[0]
}

// UnboundedInteger returns a whole number, 0 when the field is absent; whoever uses it checks the bounds.
func (f *Fields) UnboundedInteger(field string) int {
	text := f.Text(field)
	if text == "" {
		return 0
	}
	number, err := strconv.Atoi(text)
	if err != nil {
		f.Fault(field, "%q is not a whole number", Clip(text))
	}
	return number
}

// Number returns a whole number within the bounds, or the given one when the field is absent.
func (f *Fields) Number(field string, absent, least, most int) int {
	if f.Text(field) == "" {
		return absent
	}
	number := f.UnboundedInteger(field)
	if number < least || number > most {
		f.Fault(field, "%d is not from %d to %d", number, least, most)
	}
	return number
}

// Flag returns true or false, the latter when the field is absent.
func (f *Fields) Flag(field string) bool {
	switch text := f.Text(field); text {
	case "", "false":
		return false
	case "true":
		return true
	default:
		f.Fault(field, "%q is neither true nor false", Clip(text))
		return false
	}
}

// UnboundedDuration returns a duration, 0 when the field is absent; whoever uses it checks the bounds.
func (f *Fields) UnboundedDuration(field string) time.Duration {
	text := f.Text(field)
	if text == "" {
		return 0
	}
	duration, err := time.ParseDuration(text)
	if err != nil {
		f.Fault(field, "%q is not a duration such as 30s", Clip(text))
	}
	return duration
}

// Duration returns a duration within the bounds, or the given one when the field is absent.
func (f *Fields) Duration(field string, absent, least, most time.Duration) time.Duration {
	if f.Text(field) == "" {
		return absent
	}
	duration := f.UnboundedDuration(field)
	if duration < least || duration > most {
		f.Fault(field, "%s is not from %s to %s", duration, least, most)
	}
	return duration
}

// List returns the items between commas, none when the field is absent.
func (f *Fields) List(field string) []string {
	text := f.Text(field)
	if text == "" {
		return nil
	}
	items := strings.Split(text, ",")
	for i := range items {
		items[i] = strings.TrimSpace(items[i])
	}
	return items
}

// Address returns an IP number with a port; a missing one is a fault.
func (f *Fields) Address(field string) netip.AddrPort {
	text := f.Required(field)
	if text == "" {
		return netip.AddrPort{}
	}
	address, err := netip.ParseAddrPort(text)
	if err != nil {
		f.Fault(field, "%q is not an IP number with a port", Clip(text))
	}
	return address
}

// URL returns an http or https address; a missing one is a fault.
func (f *Fields) URL(field string) string {
	text := f.Required(field)
	if text == "" {
		return ""
	}
	address, err := url.Parse(text)
	if err != nil || address.Host == "" || (address.Scheme != "http" && address.Scheme != "https") {
		f.Fault(field, "%q is not an http or https address", Clip(text))
		return ""
	}
	if _, err := netip.ParseAddr(address.Hostname()); err != nil {
		f.Fault(field, "%q does not name its host by an IP number", Clip(text))
	}
	return text
}

// Fault adds a fault of this section.
func (f *Fields) Fault(field, format string, arguments ...any) {
	f.faults.Add(f.section.Name(), field, format, arguments...)
}

// CheckUnknown adds a fault for each field that was never read.
func (f *Fields) CheckUnknown() {
	for _, k := range f.section.Keys() {
		if f.unread[k.Name()] {
			f.Fault(k.Name(), "is an unknown field")
		}
	}
}
