// Package seeded runs the property tests of a package from one seed, so that each run has the same verdict. With
// SOAK set in the environment ("make soak") they draw a new one.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// Main is what TestMain calls.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" && os.Getenv("SOAK") == "" {
		_ = flag.Set("rapid.seed", "7")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
