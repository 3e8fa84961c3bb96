package main

import (
	"fmt"
	"os"
	"strings"
)

// boxWeight is the weight of a cache box in a list: how many transfers its link carries.
const boxWeight = 12

// writeList writes a server list, as a watched file, with the servers of the fleet ready but for one that is draining and one that is
// not named; empty: none.
func (w *world) writeList(path string, generation int, draining, dropped string) error {
	var b strings.Builder
	fmt.Fprintf(&b, "{\"generation\": %d, \"servers\": [\n", generation)
	for id, addr := range w.fleet.addrs {
		if id == dropped {
			continue
		}
		kind, zone, weight := "box", zoneName, boxWeight
		if id == w.fleet.origin {
			kind, zone, weight = "store", "hub", 60
		}
		state := "ready"
		if id == draining {
			state = "draining"
		}
		fmt.Fprintf(&b, "{\"id\": %q, \"addr\": %q, \"zone\": %q, \"kind\": %q, \"weight\": %d, \"state\": %q},\n", id, addr, zone, kind, weight, state)
	}
	fmt.Fprintf(&b, "], \"end\": %d}\n", generation)
	if err := os.WriteFile(path+".new", []byte(b.String()), 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}
