package membership

import (
	"errors"
	"fmt"
	"math"
)

// Source configures a source of server lists.
type Source struct {
	Name string
	// Immediate is true for a source that reports which servers are running (discovery), and false for one that says which
	// servers are wanted (a list file). Changes of an immediate source take effect at once: a server that it drops is gone
	// without a drain, weights change without steps, and the start times that it reports are used as they are.
	Immediate bool
	// SilentAfter is the time, in ms, without a list or heartbeat after which the source is reported as silent; 0: never.
	SilentAfter float64
}

// Settings configure a Table. Times are in ms.
type Settings struct {
	// Sources are in order of precedence: the first one that lists a server provides its address, weight and start.
	Sources []Source
	// DrainTimeout is how long a server that no source lists any more drains before it is gone. A longer time lets more of
	// its running requests end, a shorter one frees its address sooner.
	DrainTimeout float64
	// GoneRetention is how long a server that is gone stays in the table.
	GoneRetention float64
	// WeightStep is the largest factor by which a weight changes at once; 1 or less: no bound.
	WeightStep float64
	// WeightInterval is the time between two such changes.
	WeightInterval float64
}

// check returns an error for the first setting that is not valid.
func (s *Settings) check() error {
	if len(s.Sources) == 0 {
		return errors.New("membership: no source is configured")
	}
	for _, x := range []struct {
		name  string
		value float64
	}{
		{"drain timeout", s.DrainTimeout},
		{"gone retention", s.GoneRetention},
		{"weight step", s.WeightStep},
		{"weight interval", s.WeightInterval},
	} {
		if math.IsNaN(x.value) || math.IsInf(x.value, 0) || x.value < 0 {
			return fmt.Errorf("membership: %s is %v, but must be a finite number of 0 or more", x.name, x.value)
		}
	}
	return nil
}
