package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Notification is an event of which the proxy was notified, for checking what the servers received against the rules. Times are
// in ms.
type Notification struct {
	At       float64
	Draining []policy.ServerID // draining from At on
	Ready    []policy.ServerID // ready again from At on
	Object   string            // the purged object; empty: the group
	Group    int
	Purge    bool
	PurgedAt float64 // when it was purged, where the notification came later; 0: At
}

// Rules are the grace periods after a notification, in ms.
type Rules struct {
	Drain float64 // until a draining server may no longer receive new work
	Purge float64 // until a purged copy may no longer be served
	Slack float64 // added to both, for the delay of the measurement
}

// Violations returns, as text, each use of a draining server (as target or as source of a fill) and each copy served that is
// older than a purge. It relies only on what the servers received.
func (r Rules) Violations(observations []Observation, notifications []Notification) (violations []string) {
	for _, observation := range observations {
		if observation.Probe {
			continue
		}
		violations = append(violations, r.drainViolations(observation, notifications)...)
		violations = append(violations, r.purgeViolations(observation, notifications)...)
	}
	return violations
}

func (r Rules) drainViolations(o Observation, notifications []Notification) (violations []string) {
	for _, id := range []policy.ServerID{o.Server, o.Source} {
		since, drains := drainsAt(notifications, id, o.At)
		if drains && o.At > since+r.Drain+r.Slack {
			violations = append(violations, fmt.Sprintf("%s: request %s at %.0f uses %s, which drains since %.0f",
				serverlist.FormatID(o.Server), o.RequestID, o.At, serverlist.FormatID(id), since))
		}
	}
	return violations
}

func (r Rules) purgeViolations(o Observation, notifications []Notification) (violations []string) {
	if o.Write || o.Answer != "served" {
		return nil
	}
	for _, n := range notifications {
		purged := cmp.Or(n.PurgedAt, n.At)
		inForce := o.At > n.At+r.Purge+r.Slack
		if n.Purge && inForce && o.Stamp <= purged && n.covers(o.Object) {
			violations = append(violations, fmt.Sprintf("%s: request %s at %.0f got a copy of %.0f, purged at %.0f",
				serverlist.FormatID(o.Server), o.RequestID, o.At, o.Stamp, purged))
		}
	}
	return violations
}

// covers reports whether a purge applies to an object.
func (n Notification) covers(object string) bool {
	return n.Object == object || n.Object == "" && n.Group == Group(object)
}

// drainsAt reports whether a server is draining at a time, and since when.
func drainsAt(notifications []Notification, id policy.ServerID, at float64) (since float64, drains bool) {
	for _, n := range notifications {
		switch {
		case n.At > at:
		case slices.Contains(n.Ready, id):
			drains = false
		case slices.Contains(n.Draining, id) && !drains:
			since, drains = n.At, true
		}
	}
	return since, drains
}
