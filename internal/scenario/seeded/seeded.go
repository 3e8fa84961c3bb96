// Package seeded runs the property tests of a package from a fixed seed, so that each run has the same verdict. With SOAK set in the
// environment ("make soak") they draw a new one. Only tests import it.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is used where neither the command line nor SOAK asks for another one.
const defaultSeed = "7"

// Main runs the tests and ends the process. TestMain calls it.
func Main(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f != nil && f.Value.String() == "0" && os.Getenv("SOAK") == "" {
		_ = flag.Set("rapid.seed", defaultSeed)
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}
