package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets a fixed seed for the property tests, so that their runs are reproducible.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
