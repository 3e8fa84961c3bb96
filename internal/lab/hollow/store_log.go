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

// The streams, as places in arrays.
const (
	purgeStream  = 0
	changeStream = 1
)

var streamNames = [2]distribution.Stream{distribution.Purges, distribution.Configuration}

// epoch0 is what Unix ms the run begins at. 0 would be no time at all.
const startUnixMs = 1_800_000_000_000

// committed is one entry of the store's log.
type logEntry struct {
	key            string  // see key
	committedAt    float64 // ms, true
	stream         int
	entry          distribution.Entry
	encodedChange  []byte             // as the store's log has it
	merged         distribution.Entry // with the latest Made and Until of what it covers, the earliest of a drain
	supersededBy   uint64             // the first later entry that says all that this one does; 0: none yet
	maxLatencyMs   float32            // ms, the slowest process that was there all the time
	slow           float32            // the slowest one counted from when it could be expected to follow
	slowestProcess int32              // the process of worst
}

// history is the store's log, and what is proposed and waits for a leader.
type storeLog struct {
	streams             [2][]*logEntry
	entries             []*logEntry
	pending             []*logEntry
	latestByKey         map[string]*logEntry
	objectPurgesByGroup map[int64][]*logEntry // objects' purges that no later one of their group covers
	lastSequence        uint64

	rand            *rand.Rand
	revisionNumber  uint64 // of revisions
	listGenerations []uint64
	drainedServers  map[int]bool
}

func newStoreLog(sim *simulation) *storeLog {
	return &storeLog{
		rand: newRand(sim.scenario.Seed, "changes"), latestByKey: map[string]*logEntry{}, objectPurgesByGroup: map[int64][]*logEntry{}, listGenerations: make([]uint64, sim.zones),
		drainedServers: map[int]bool{},
	}
}

// purgeBinds: twice the time in which copies are dropped, and the notice, as the program's own purges.
const purgeLifetimeMs = 2*6000 + 1000

// groups that objects belong to.
const objectGroups = 400

func (h *storeLog) newPurge(sim *simulation, proposer *process) *logEntry {
	made := math.Ceil(sim.clockOf(proposer))
	e := distribution.Entry{Kind: distribution.PurgeObject, EffectiveAt: int64(made), ExpiresAt: int64(made) + purgeLifetimeMs, GroupKnown: true}
	object := int(float64(sim.scenario.Objects) * math.Pow(h.rand.Float64(), 3)) // some are purged again and again
	e.Name, e.Group = fmt.Sprintf("%016x", object), int64(object%objectGroups)
	p := storestate.Purge{Object: e.Name, Group: int(e.Group), IssuedAt: made}
	if h.rand.Float64() < sim.scenario.GroupPurgeFraction {
		e.Kind, e.Name, e.GroupKnown, p.Object = distribution.PurgeGroup, "", false, ""
	}
	return &logEntry{entry: e, stream: purgeStream, encodedChange: h.encode(storestate.Change{ProposedAt: made, Kind: storestate.AddPurge, ExpiresAt: made + purgeLifetimeMs, Purge: &p})}
}

func (h *storeLog) encode(c storestate.Change) []byte {
	c.ID = fmt.Sprintf("%016x", h.rand.Uint64())
	raw, err := storestate.Encode(c)
	if err != nil {
		panic(err) // of values made here
	}
	return raw
}

// Of ten changes four are a zone's list, three a revision, three a drain or its end.
func (h *storeLog) newChange(sim *simulation, proposer *process) *logEntry {
	switch n := h.rand.IntN(10); {
	case n < 4:
		return h.newList(sim, h.rand.IntN(sim.zones))
	case n < 7:
		return h.newRevision(sim)
	default:
		server := h.rand.IntN(sim.zones * sim.scenario.ZoneServers)
		c := storestate.Change{ProposedAt: sim.clockOf(proposer), Kind: storestate.StartDrain, Name: serverlist.FormatID(policy.CacheID(server + 1))}
		e := distribution.Entry{Kind: distribution.Drain, Name: c.Name, EffectiveAt: int64(c.ProposedAt)}
		if h.drainedServers[server] {
			c.Kind, e.Kind, e.EffectiveAt = storestate.EndDrain, distribution.DrainEnded, 0
		}
		h.drainedServers[server] = !h.drainedServers[server]
		return &logEntry{entry: e, stream: changeStream, encodedChange: h.encode(c)}
	}
}

func (h *storeLog) newRevision(sim *simulation) *logEntry {
	h.revisionNumber++
	text := fmt.Sprintf(`{"limits": {"requests": %d, "connect_ms": 300, "idle_ms": 60000, "streams_per_connection": 64}}`, 1000+h.revisionNumber)
	text += " // " + strings.Repeat("x", max(0, sim.scenario.RevisionBytes-len(text)-5)) + "\n"
	c := storestate.Change{Kind: storestate.SetConfig, BaseRevision: h.revisionNumber - 1, Text: text, Author: "operator"}
	return &logEntry{entry: distribution.Entry{Kind: distribution.Revision, Version: h.revisionNumber, Body: []byte(text)}, stream: changeStream, encodedChange: h.encode(c)}
}

// sourceName is that of a zone's list.
func sourceName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (h *storeLog) newList(sim *simulation, zone int) *logEntry {
	h.listGenerations[zone]++
	l := &storestate.List{Generation: h.listGenerations[zone]}
	for i := range sim.scenario.ZoneServers {
		n := zone*sim.scenario.ZoneServers + i
		host := fmt.Sprintf("10.%d.%d.%d", n>>16&255, n>>8&255, n&255)
		s := serverlist.Server{
			ID: policy.CacheID(n + 1), Host: host, Port: 4100, Addr: host + ":4100", Zone: fmt.Sprint("z", zone), Kind: "cache",
			Weight: float64(4 + h.rand.IntN(12)),
		}
		l.Servers = append(l.Servers, s)
	}
	raw := h.encode(storestate.Change{Kind: storestate.SetList, Name: sourceName(zone), List: l})
	return &logEntry{entry: distribution.Entry{Kind: distribution.List, Name: sourceName(zone), Version: l.Generation, Body: raw}, stream: changeStream, encodedChange: raw}
}

// key is what a later entry must have in common to cover an earlier one.
func supersessionKey(e distribution.Entry) string {
	switch e.Kind {
	case distribution.PurgeObject:
		return "o" + e.Name
	case distribution.PurgeGroup:
		return fmt.Sprint("g", e.Group)
	case distribution.Revision:
		return "r" + e.Name
	case distribution.List:
		return "l" + e.Name
	}
	return "d" + e.Name
}

// commit gives an entry its place. Some places go to entries that no stream has.
func (h *storeLog) commit(now float64, c *logEntry) {
	h.lastSequence += 1 + uint64(h.rand.IntN(2))
	c.committedAt, c.entry.Sequence = now, h.lastSequence
	c.merged = c.entry
	k := supersessionKey(c.entry)
	c.key = k
	if old := h.latestByKey[k]; old != nil {
		if old.supersededBy == 0 {
			old.supersededBy = h.lastSequence
		}
		c.merged.EffectiveAt, c.merged.ExpiresAt = max(c.entry.EffectiveAt, old.merged.EffectiveAt), max(c.entry.ExpiresAt, old.merged.ExpiresAt)
		if c.entry.Kind == distribution.Drain {
			c.merged.EffectiveAt = min(c.entry.EffectiveAt, old.merged.EffectiveAt)
		}
	}
	h.latestByKey[k] = c
	switch g := c.entry.Group; c.entry.Kind {
	case distribution.PurgeObject:
		h.objectPurgesByGroup[g] = append(h.objectPurgesByGroup[g], c)
	case distribution.PurgeGroup:
		var left []*logEntry
		for _, old := range h.objectPurgesByGroup[g] {
			switch {
			case old.supersededBy != 0:
			case old.merged.EffectiveAt <= c.merged.EffectiveAt && old.merged.ExpiresAt <= c.merged.ExpiresAt:
				old.supersededBy = h.lastSequence
			default:
				left = append(left, old)
			}
		}
		h.objectPurgesByGroup[g] = left
	}
	h.streams[c.stream] = append(h.streams[c.stream], c)
	h.entries = append(h.entries, c)
}

// draw is what is proposed in so many ms.
func (h *storeLog) propose(sim *simulation, ms float64) (out []*logEntry) {
	proposer := func() *process { return sim.byRole[Store][h.rand.IntN(len(sim.byRole[Store]))] }
	for range poisson(h.rand, sim.scenario.PurgesPerS*sim.purgeRateFactor*ms/1000) {
		out = append(out, h.newPurge(sim, proposer()))
	}
	for range poisson(h.rand, sim.scenario.ChangesPerDay/86_400*ms/1000) {
		out = append(out, h.newChange(sim, proposer()))
	}
	return out
}

// poisson draws a count with a mean (Knuth, for the small means of one batch; a large one is drawn in parts).
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

// whole is the state at a place in a stream's log, as a member of the store tells it: what is not covered by anything up to
// there, and not over.
func (h *storeLog) snapshot(stream, upTo int, now int64) []distribution.Entry {
	if upTo == 0 {
		return nil
	}
	through := h.streams[stream][upTo-1].entry.Sequence
	var out []distribution.Entry
	for _, c := range h.streams[stream][:upTo] {
		if c.inEffect(through, now) {
			out = append(out, c.entry)
		}
	}
	return out
}

// live tells whether an entry still says something in the state at a sequence and a time.
func (c *logEntry) inEffect(through uint64, now int64) bool {
	if c.supersededBy != 0 && c.supersededBy <= through || c.entry.Kind == distribution.DrainEnded {
		return false
	}
	return c.entry.ExpiresAt == 0 || c.entry.ExpiresAt > now
}
