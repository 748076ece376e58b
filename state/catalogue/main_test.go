package catalogue

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, so that each run draws the same cases.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
