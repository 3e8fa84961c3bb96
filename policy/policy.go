// Package policy makes the decisions of a request router in front of a group of caches: which cache serves a
// request, where a cache miss is filled from, when an attempt is retried, and when a request is rejected.
// Caches are filled from parent caches, from one another or from the origin.
//
// A Router is a state machine. Its caller owns the clock, the timers and the network: it passes every event
// to Handle and carries out the returned actions in order. A Router does no I/O, starts no goroutine and
// returns equal actions for equal events and seeds. It must not be used by two goroutines at once, and it
// does not retain slices that it is given.
//
// The rules are grouped by file:
//
//	request.go            the life of a request, from its arrival to its final answer
//	retry.go              what follows an attempt's outcome: another attempt, a pause, or a final answer
//	idempotency.go        when it is safe to repeat an attempt, or to reject a request
//	server_pick.go        which cache an attempt goes to
//	source_chain.go       where a miss is filled from
//	concurrency_limit.go  how many attempts and fills may be in flight at a server or link
//	slow_start.go         how much traffic a recently started server gets
//	outlier.go            which servers are down, and when they are probed
//	estimates.go          transfer times, fill rates and recent hits, learned from outcomes
//	members.go            how the list of servers from discovery is applied
//	purge.go              how old a copy may be after a purge
//
// The tests of these rules are in this package; rules_test.go checks the rules of the protocol with random
// events.
package policy

import "slices"

// New returns a router for the given settings. Routers with equal settings and seeds make equal decisions.
// The error is a *SettingsError.
func New(settings Settings, seed uint64) (*Router, error) {
	if err := validate(settings); err != nil {
		return nil, err
	}
	r := &Router{
		settings: settings, rng: mix(seed), requests: map[string]*openRequest{}, timers: map[uint64]timer{},
		servers:      map[ServerID]*server{},
		recentHits:   newBoundedMap[objectPart, recentHit](recentHitsMaxEntries),
		objectPurges: newBoundedMap[string, Time](recentHitsMaxEntries),
		groupPurges:  newBoundedMap[int, Time](recentHitsMaxEntries),
		fillRate:     initialFillRate, originRate: initialOriginRate, limitScale: 1,
	}
	r.settings.Routers = max(1, settings.Routers)
	r.settings.Classes = slices.Clone(settings.Classes)
	r.settings.ZoneRouters = slices.Clone(settings.ZoneRouters)
	for _, class := range settings.Classes {
		r.transferTime = append(r.transferTime, class.Deadline.Seconds()*initialTransferTimeFraction)
	}
	r.transferTimeUpdated = make([]Time, len(settings.Classes))
	r.recentTransferTime = slices.Clone(r.transferTime)
	r.link = &server{Member: Member{Zone: settings.Zone}}
	r.link.Limit = cacheLimitStart / float64(r.routersSharing(r.link))
	return r, nil
}

// Handle processes one event at the given time and appends the resulting actions to actions. If now is before
// the time of the last event, the time of the last event is used instead.
func (r *Router) Handle(now Time, event Event, actions []Action) []Action {
	r.now, r.actions = max(now, r.now), actions
	switch e := event.(type) {
	case Members:
		r.handleMembers(e)
	case Request:
		r.handleRequest(e)
	case StreamStarted:
		r.handleStreamStarted(e)
	case Outcome:
		r.handleOutcome(e)
	case ClientLeft:
		r.finish(r.requests[e.ID])
	case Timer:
		r.handleTimer(e.Token)
	case Purged:
		r.handlePurged(e)
	case DiscoveryOverdue:
		r.handleDiscoveryOverdue(e)
	}
	actions, r.actions = r.actions, nil
	return actions
}
