package check

import (
	"fmt"
	"io"
)

// Check is one thing that must hold, and whether it did.
type Check struct {
	Name string `json:"name"`
	Held bool   `json:"held"`
	Seen string `json:"seen"`
}

// Held tells whether every check held; without any check nothing was shown.
func Held(checks []Check) bool {
	for _, c := range checks {
		if !c.Held {
			return false
		}
	}
	return len(checks) > 0
}

// Write writes a line for each check.
func Write(w io.Writer, checks []Check) error {
	for _, c := range checks {
		mark := "held  "
		if !c.Held {
			mark = "FAILED"
		}
		if _, err := fmt.Fprintf(w, "  %s  %s (%s)\n", mark, c.Name, c.Seen); err != nil {
			return err
		}
	}
	return nil
}
