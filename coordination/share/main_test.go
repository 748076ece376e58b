package share

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "5")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
