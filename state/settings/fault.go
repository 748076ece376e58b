package settings

import (
	"fmt"
	"strings"
)

// Fault is one reason why a file or record is not valid.
type Fault struct {
	File    string // file's name; empty if the content is not from a file
	Section string // section of the INI file, or the part of the record
	Field   string
	Reason  string
}

// String returns the file (if any), section, field (if any) and reason as one line.
func (f Fault) String() string {
	location := f.Section
	if f.Field != "" {
		location += "." + f.Field
	}
	if f.File != "" {
		location = f.File + ": " + location
	}
	return location + ": " + f.Reason
}

// Faults lists the reasons why a file or record is not valid, at most maximumFaults of them.
type Faults []Fault

// Error returns all faults, one per line.
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

// Add appends a fault, or drops it if the list already holds maximumFaults.
func (fs *Faults) Add(section, field, format string, arguments ...any) {
	if len(*fs) < maximumFaults {
		*fs = append(*fs, Fault{Section: section, Field: field, Reason: fmt.Sprintf(format, arguments...)})
	}
}

// WithFile sets the file's name in each fault that has none and returns the faults; it modifies the list in place.
func (fs Faults) WithFile(file string) Faults {
	for i := range fs {
		if fs[i].File == "" {
			fs[i].File = file
		}
	}
	return fs
}

// Clip shortens a value to the length that a fault may quote.
func Clip(text string) string {
	if len(text) <= maximumQuotedBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maximumQuotedBytes], "") + "..."
}
