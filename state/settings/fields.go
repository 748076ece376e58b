package settings

import (
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Fields reads the fields of one section and records which of them have been read, so that CheckUnknown finds the rest.
type Fields struct {
	section *ini.Section
	faults  *Faults
	unread  map[string]bool // names of the fields that have not been read
}

// NewFields returns the fields of a section; it and the methods of Fields add the faults that they find to the list.
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

// Text returns the field's text, or an empty string if the field is absent; it does not look in parent sections and does not expand
// references to other fields.
func (f *Fields) Text(field string) string {
	for _, k := range f.section.Keys() {
		if k.Name() == field {
			delete(f.unread, field)
			return strings.TrimSpace(k.Value())
		}
	}
	return ""
}

// Required returns the field's text and adds a fault if the field is absent or empty.
func (f *Fields) Required(field string) string {
	text := f.Text(field)
	if text == "" {
		f.Fault(field, "is missing")
	}
	return text
}

// Choice returns the field's text if it is one of the choices. Otherwise it returns the first choice, and adds a fault unless the field
// is absent or empty.
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

// UnboundedInteger returns a whole number, or 0 if the field is absent, and adds a fault if the text is not a whole number; the caller
// checks the bounds.
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

// Number returns a whole number, or the fallback if the field is absent, and adds a fault if the number is outside the bounds.
func (f *Fields) Number(field string, fallback, minimum, maximum int) int {
	if f.Text(field) == "" {
		return fallback
	}
	number := f.UnboundedInteger(field)
	if number < minimum || number > maximum {
		f.Fault(field, "%d is not from %d to %d", number, minimum, maximum)
	}
	return number
}

// Flag reports whether the field is set to true; an absent field is false.
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

// UnboundedDuration returns a duration, or 0 if the field is absent, and adds a fault if the text is not a duration; the caller checks
// the bounds.
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

// Duration returns a duration, or the fallback if the field is absent, and adds a fault if the duration is outside the bounds.
func (f *Fields) Duration(field string, fallback, minimum, maximum time.Duration) time.Duration {
	if f.Text(field) == "" {
		return fallback
	}
	duration := f.UnboundedDuration(field)
	if duration < minimum || duration > maximum {
		f.Fault(field, "%s is not from %s to %s", duration, minimum, maximum)
	}
	return duration
}

// List returns the items of a comma-separated list without surrounding spaces, or nil if the field is absent.
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

// Address returns an IP address with its port; it adds a fault if the field is absent or not such an address.
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

// URL returns an http or https URL whose host is an IP address; it adds a fault if the field is absent or not such a URL.
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

// Fault adds a fault of a field in this section.
func (f *Fields) Fault(field, format string, arguments ...any) {
	f.faults.Add(f.section.Name(), field, format, arguments...)
}

// CheckUnknown adds a fault for each field that has not been read.
func (f *Fields) CheckUnknown() {
	for _, k := range f.section.Keys() {
		if f.unread[k.Name()] {
			f.Fault(k.Name(), "is an unknown field")
		}
	}
}
