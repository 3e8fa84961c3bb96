package fleet

import (
	"cmp"
	"fmt"
	"slices"

	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Notification is a drain, the end of a drain, or a purge of which the proxy was notified. Rules.Violations compares what the
// servers received with it. Times are in ms.
type Notification struct {
	At       float64           // when the proxy was notified
	Draining []policy.ServerID // draining from At on
	Ready    []policy.ServerID // no longer draining from At on
	Object   string            // the purged object; empty: a group was purged
	Group    int               // the purged group
	Purge    bool              // Object or Group was purged
	PurgedAt float64           // when the purge was made; 0: at At
}

// Rules are the grace periods after a notification, in ms.
type Rules struct {
	Drain float64 // how long a draining server may still receive requests
	Purge float64 // how long a purged copy may still be served
	Slack float64 // added to both, as measuring takes time
}

// Violations returns, as text, each request that used a draining server (as target or as source of a fill) and each copy that was
// served after its purge, in both cases after the grace period. It relies only on what the servers received.
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
		since, draining := drainingAt(notifications, id, o.At)
		if draining && o.At > since+r.Drain+r.Slack {
			violations = append(violations, fmt.Sprintf("%s: request %s at %.0f ms uses %s, which has been draining since %.0f ms",
				serverlist.FormatID(o.Server), o.RequestID, o.At, serverlist.FormatID(id), since))
		}
	}
	return violations
}

func (r Rules) purgeViolations(o Observation, notifications []Notification) (violations []string) {
	if o.Write || o.Status != "served" {
		return nil
	}
	for _, n := range notifications {
		purgedAt := cmp.Or(n.PurgedAt, n.At)
		inForce := o.At > n.At+r.Purge+r.Slack
		if n.Purge && inForce && o.Stamp <= purgedAt && n.covers(o.Object) {
			violations = append(violations, fmt.Sprintf("%s: request %s at %.0f ms was served a copy created at %.0f ms and purged at %.0f ms",
				serverlist.FormatID(o.Server), o.RequestID, o.At, o.Stamp, purgedAt))
		}
	}
	return violations
}

// covers reports whether a purge applies to an object.
func (n Notification) covers(object string) bool {
	return n.Object == object || n.Object == "" && n.Group == Group(object)
}

// drainingAt reports whether a server is draining at a time, and since when. It applies the notifications up to that time in
// their order in the slice.
func drainingAt(notifications []Notification, id policy.ServerID, at float64) (since float64, draining bool) {
	for _, n := range notifications {
		switch {
		case n.At > at:
		case slices.Contains(n.Ready, id):
			draining = false
		case slices.Contains(n.Draining, id) && !draining:
			since, draining = n.At, true
		}
	}
	return since, draining
}
