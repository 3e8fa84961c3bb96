package hollow

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/policy"
)

// Times of the program's purges: caches drop purged copies within purgeDurationMs, and may be notified up to purgeGraceMs late.
const (
	purgeDurationMs = 6000
	purgeGraceMs    = 1000
	// purgeLifetimeMs is how long a purge stays in effect.
	purgeLifetimeMs = 2*purgeDurationMs + purgeGraceMs
)

const (
	// objectGroups is the number of groups that objects belong to.
	objectGroups = 400
	// objectSkew is the exponent applied to a uniform random number in [0, 1) that selects an object. A value above 1 makes few
	// objects the target of many purges.
	objectSkew = 3
	// serverPort is the port of all servers in the lists.
	serverPort = 4100
)

// Relative frequencies of the kinds of changes, out of changeWeightTotal. The remaining changes start or end a drain.
const (
	changeWeightTotal    = 10
	listChangeWeight     = 4
	revisionChangeWeight = 3
)

const secondsPerDay = 86_400

// propose generates the changes that are proposed within the given ms, each by a random member of the store.
func (l *storeLog) propose(sim *simulation, ms float64) (out []*logEntry) {
	members := sim.byRole[StoreMember]
	proposer := func() *process { return members[l.rand.IntN(len(members))] }
	for range poisson(l.rand, sim.scenario.PurgesPerS*sim.purgeRateFactor*ms/1000) {
		out = append(out, l.newPurge(sim, proposer()))
	}
	for range poisson(l.rand, sim.scenario.ChangesPerDay/secondsPerDay*ms/1000) {
		out = append(out, l.newChange(sim, proposer()))
	}
	return out
}

// newPurge generates a purge of a random object or of that object's group.
func (l *storeLog) newPurge(sim *simulation, proposer *process) *logEntry {
	issuedAt := math.Ceil(sim.clockOf(proposer))
	object := int(float64(sim.scenario.Objects) * math.Pow(l.rand.Float64(), objectSkew))
	entry := distribution.Entry{
		Kind:        distribution.PurgeObject,
		Name:        fmt.Sprintf("%016x", object),
		Group:       int64(object % objectGroups),
		GroupKnown:  true,
		EffectiveAt: int64(issuedAt),
		ExpiresAt:   int64(issuedAt) + purgeLifetimeMs,
	}
	purge := storestate.Purge{Object: entry.Name, Group: int(entry.Group), IssuedAt: issuedAt}
	if l.rand.Float64() < sim.scenario.GroupPurgeFraction {
		entry.Kind, entry.Name, entry.GroupKnown = distribution.PurgeGroup, "", false
		purge.Object = ""
	}
	encoded := l.encode(storestate.Change{
		ProposedAt: issuedAt, Kind: storestate.AddPurge, ExpiresAt: issuedAt + purgeLifetimeMs, Purge: &purge,
	})
	return &logEntry{streamEntry: entry, stream: purgeStream, encodedChange: encoded}
}

// newChange generates a server list, a revision of the configuration, or the start or end of a drain.
func (l *storeLog) newChange(sim *simulation, proposer *process) *logEntry {
	switch n := l.rand.IntN(changeWeightTotal); {
	case n < listChangeWeight:
		return l.newList(sim, l.rand.IntN(sim.zones))
	case n < listChangeWeight+revisionChangeWeight:
		return l.newRevision(sim)
	}
	return l.newDrain(sim, proposer)
}

// newDrain selects a random server, and starts its drain or ends the one in progress.
func (l *storeLog) newDrain(sim *simulation, proposer *process) *logEntry {
	server := l.rand.IntN(sim.zones * sim.scenario.ZoneServers)
	change := storestate.Change{
		ProposedAt: sim.clockOf(proposer), Kind: storestate.StartDrain, Name: serverlist.FormatID(policy.ServerID(server + 1)),
	}
	entry := distribution.Entry{Kind: distribution.Drain, Name: change.Name, EffectiveAt: int64(change.ProposedAt)}
	if l.drainedServers[server] {
		change.Kind = storestate.EndDrain
		entry.Kind, entry.EffectiveAt = distribution.DrainEnded, 0
	}
	l.drainedServers[server] = !l.drainedServers[server]
	return &logEntry{streamEntry: entry, stream: changeStream, encodedChange: l.encode(change)}
}

// newRevision generates the next revision of the configuration, padded with a comment to the scenario's RevisionBytes.
func (l *storeLog) newRevision(sim *simulation) *logEntry {
	l.revisionNumber++
	text := fmt.Sprintf(`{"limits": {"requests": %d, "connect_ms": 300, "idle_ms": 60000, "streams_per_connection": 64}}`, 1000+l.revisionNumber)
	const commentBytes = 5 // of " // " and the newline
	text += " // " + strings.Repeat("x", max(0, sim.scenario.RevisionBytes-len(text)-commentBytes)) + "\n"
	change := storestate.Change{Kind: storestate.SetConfig, BaseRevision: l.revisionNumber - 1, Text: text, Author: "operator"}
	entry := distribution.Entry{Kind: distribution.Revision, Version: l.revisionNumber, Body: []byte(text)}
	return &logEntry{streamEntry: entry, stream: changeStream, encodedChange: l.encode(change)}
}

// newList generates the next generation of a zone's server list, with new random weights.
func (l *storeLog) newList(sim *simulation, zone int) *logEntry {
	l.listGenerations[zone]++
	list := &storestate.List{Generation: l.listGenerations[zone]}
	for i := range sim.scenario.ZoneServers {
		n := zone*sim.scenario.ZoneServers + i
		host := fmt.Sprintf("10.%d.%d.%d", n>>16&255, n>>8&255, n&255)
		list.Servers = append(list.Servers, serverlist.Server{
			ID: policy.ServerID(n + 1), Host: host, Port: serverPort, Addr: fmt.Sprintf("%s:%d", host, serverPort),
			Zone: fmt.Sprint("z", zone), Kind: "cache", Weight: float64(4 + l.rand.IntN(12)),
		})
	}
	encoded := l.encode(storestate.Change{Kind: storestate.SetList, Name: listName(zone), List: list})
	entry := distribution.Entry{Kind: distribution.List, Name: listName(zone), Version: list.Generation, Body: encoded}
	return &logEntry{streamEntry: entry, stream: changeStream, encodedChange: encoded}
}

// listName is the name of a zone's server list.
func listName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

// encode assigns a random id to a change and encodes it for the store's log.
func (l *storeLog) encode(change storestate.Change) []byte {
	change.ID = fmt.Sprintf("%016x", l.rand.Uint64())
	raw, err := storestate.Encode(change)
	if err != nil {
		panic(fmt.Sprintf("hollow: encoding a generated change: %v", err))
	}
	return raw
}

// poisson returns a Poisson-distributed random count by Knuth's method. As that method underflows for large means, these are split
// into parts whose counts are added.
func poisson(rng *rand.Rand, mean float64) int {
	const part = 20
	n := 0
	for ; mean > part; mean -= part {
		n += poisson(rng, part)
	}
	for p, limit := rng.Float64(), math.Exp(-mean); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}
