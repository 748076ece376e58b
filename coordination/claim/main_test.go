package claim

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests; -rapid.seed on the command line replaces it.
func TestMain(m *testing.M) {
	if err := flag.Set("rapid.seed", "4"); err != nil {
		panic(err)
	}
	os.Exit(m.Run())
}
