package catalogue

import (
	"fmt"
	"strings"
)

// Fault is one reason why content is not valid.
type Fault struct {
	File    string // empty when the content came from the log
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

// Faults is every reason why content is not valid.
type Faults []Fault

// Error lists all faults.
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

func (fs *Faults) add(section, field, format string, arguments ...any) {
	if len(*fs) < maximumFaults {
		*fs = append(*fs, Fault{Section: section, Field: field, Reason: fmt.Sprintf(format, arguments...)})
	}
}
