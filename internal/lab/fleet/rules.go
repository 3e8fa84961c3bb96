package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Notification is what a proxy was told, and when: for holding what the servers saw against the rules.
type Notification struct {
	At      float64
	Drains  []policy.CacheID // from At on nothing new, after the grace
	Returns []policy.CacheID // listed as ready again
	Object  string           // purged, or with none the group
	Group   int
	Purge   bool
	Made    float64 // when it was purged, if it counts as told later than that; 0: At
}

// Rules are the graces in ms.
type Rules struct{ Drain, Purge, Slack float64 }

// Violations holds what the servers saw against what the proxy was told: new work to a server that drains, as request or
// as source, and copies served that are older than a purge. It trusts nothing that the proxy says.
func (r Rules) Violations(seen []Observation, told []Notification) (broken []string) {
	for _, s := range seen {
		if s.Probe {
			continue
		}
		for _, id := range []policy.CacheID{s.Server, s.Source} {
			if since, drains := drainsAt(told, id, s.At); drains && s.At > since+r.Drain+r.Slack {
				broken = append(broken, fmt.Sprintf("%s: request %s at %.0f uses %s, which drains since %.0f",
					serverlist.FormatID(s.Server), s.RequestID, s.At, serverlist.FormatID(id), since))
			}
		}
		for _, t := range told {
			if !t.Purge || s.Write || s.Answer != "served" || s.At <= t.At+r.Purge+r.Slack || s.Stamp > cmp.Or(t.Made, t.At) {
				continue
			}
			if t.Object == s.Object || t.Object == "" && t.Group == Group(s.Object) {
				broken = append(broken, fmt.Sprintf("%s: request %s at %.0f got a copy of %.0f, purged at %.0f",
					serverlist.FormatID(s.Server), s.RequestID, s.At, s.Stamp, cmp.Or(t.Made, t.At)))
			}
		}
	}
	return broken
}

// drainsAt tells whether a server drains at a time, and since when.
func drainsAt(told []Notification, id policy.CacheID, at float64) (since float64, drains bool) {
	for _, t := range told {
		switch {
		case t.At > at:
		case slices.Contains(t.Returns, id):
			drains = false
		case slices.Contains(t.Drains, id) && !drains:
			since, drains = t.At, true
		}
	}
	return since, drains
}
