package settings

import (
	"fmt"
	"strings"
)

// Fault is one reason why content is not valid.
type Fault struct {
	File    string // empty when the content came from elsewhere
	Section string
	Field   string
	Reason  string
}

// String gives file, section, field and reason.
func (f Fault) String() string {
	place := f.Section
	if f.Field != "" {
		place += "." + f.Field
	}
	if f.File != "" {
		place = f.File + ": " + place
	}
	return place + ": " + f.Reason
}

// Faults is every reason why content is not valid, within a bound.
type Faults []Fault

// Error lists all faults, a line each.
func (fs Faults) Error() string {
	lines := make([]string, 0, len(fs))
	for _, f := range fs {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the faults as an error, or nil if there are none.
func (fs Faults) Err() error {
	if len(fs) == 0 {
		return nil
	}
	return fs
}

// Add appends a fault unless the bound is reached.
func (fs *Faults) Add(section, field, format string, arguments ...any) {
	if len(*fs) < maximumFaults {
		*fs = append(*fs, Fault{Section: section, Field: field, Reason: fmt.Sprintf(format, arguments...)})
	}
}

// WithFile names the file in every fault that has none.
func (fs Faults) WithFile(file string) Faults {
	for i := range fs {
		if fs[i].File == "" {
			fs[i].File = file
		}
	}
	return fs
}

// Clip shortens a value for a fault.
func Clip(text string) string {
	if len(text) <= maximumQuoted {
		return text
	}
	return strings.ToValidUTF8(text[:maximumQuoted], "") + "..."
}
