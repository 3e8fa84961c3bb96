package membership

import (
	"errors"
	"fmt"
	"math"
)

// Source is a source of servers.
type Source struct {
	Name string
	// Immediate: the source reports what runs (discovery), rather than what is wanted (a list file). Its changes take
	// effect at once: a server that it drops is gone without a drain, weights change without steps, and a server is as
	// warm as the source says.
	Immediate bool
	// SilentAfter is the time in ms without any event after which the source counts as silent; 0: never.
	SilentAfter float64
}

// Settings configure a Table. Times are in ms.
type Settings struct {
	// Sources in the order of their precedence: the first that lists a server provides its facts.
	Sources []Source
	// DrainTimeout: a server that no source lists any more drains for so long before it is gone. Longer spares requests
	// that still run there, shorter frees its address sooner.
	DrainTimeout float64
	// GoneRetention is how long a server that is gone is remembered.
	GoneRetention float64
	// WeightStep is the largest factor by which a weight changes at once; 1 or less: no bound.
	WeightStep float64
	// WeightInterval is the time between two such changes.
	WeightInterval float64
}

// check reports the first setting that is not valid.
func (s *Settings) check() error {
	if len(s.Sources) == 0 {
		return errors.New("membership: no source")
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
			return fmt.Errorf("membership: %s is %v, not a finite number of 0 or more", x.name, x.value)
		}
	}
	return nil
}
