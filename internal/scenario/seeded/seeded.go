// Package seeded runs the property tests of a package with a fixed seed, so that each run has the same result. If SOAK is set in
// the environment ("make soak"), each run uses a new seed. Only tests import it.
package seeded

import (
	"flag"
	"os"
	"testing"
)

// defaultSeed is the seed unless the command line sets another one or SOAK is set.
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
