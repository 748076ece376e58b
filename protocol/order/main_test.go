package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property tests, unless the command line sets another.
func TestMain(m *testing.M) {
	for _, f := range []struct{ name, value string }{{"rapid.seed", "5"}, {"rapid.nofailfile", "true"}} {
		if err := flag.Set(f.name, f.value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
