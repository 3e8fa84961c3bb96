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
	purges  = 0
	changes = 1
)

var streams = [2]distribution.Stream{distribution.Purges, distribution.Configuration}

// epoch0 is what Unix ms the run begins at. 0 would be no time at all.
const epoch0 = 1_800_000_000_000

// committed is one entry of the store's log.
type committed struct {
	key    string  // see key
	at     float64 // ms, true
	stream int
	entry  distribution.Entry
	change []byte             // as the store's log has it
	joined distribution.Entry // with the latest Made and Until of what it covers, the earliest of a drain
	cover  uint64             // the first later entry that says all that this one does; 0: none yet
	worst  float32            // ms, the slowest process that was there all the time
	slow   float32            // the slowest one counted from when it could be expected to follow
	who    int32              // the process of worst
}

// history is the store's log, and what is proposed and waits for a leader.
type history struct {
	log     [2][]*committed
	all     []*committed
	waiting []*committed
	last    map[string]*committed
	grouped map[int64][]*committed // objects' purges that no later one of their group covers
	index   uint64

	rng     *rand.Rand
	number  uint64 // of revisions
	lists   []uint64
	drained map[int]bool
}

func newHistory(w *world) *history {
	return &history{
		rng: stream(w.spec.Seed, "changes"), last: map[string]*committed{}, grouped: map[int64][]*committed{}, lists: make([]uint64, w.zones),
		drained: map[int]bool{},
	}
}

// purgeBinds: twice the time in which copies are dropped, and the notice, as the program's own purges.
const purgeBinds = 2*6000 + 1000

// groups that objects belong to.
const groups = 400

func (h *history) purge(w *world, proposer *process) *committed {
	made := math.Ceil(w.clock(proposer))
	e := distribution.Entry{Kind: distribution.PurgeObject, EffectiveAt: int64(made), ExpiresAt: int64(made) + purgeBinds, GroupKnown: true}
	object := int(float64(w.spec.Objects) * math.Pow(h.rng.Float64(), 3)) // some are purged again and again
	e.Name, e.Group = fmt.Sprintf("%016x", object), int64(object%groups)
	p := storestate.Purge{Object: e.Name, Group: int(e.Group), IssuedAt: made}
	if h.rng.Float64() < w.spec.GroupPurges {
		e.Kind, e.Name, e.GroupKnown, p.Object = distribution.PurgeGroup, "", false, ""
	}
	return &committed{entry: e, stream: purges, change: h.encode(storestate.Change{ProposedAt: made, Kind: storestate.AddPurge, ExpiresAt: made + purgeBinds, Purge: &p})}
}

func (h *history) encode(c storestate.Change) []byte {
	c.ID = fmt.Sprintf("%016x", h.rng.Uint64())
	raw, err := storestate.Encode(c)
	if err != nil {
		panic(err) // of values made here
	}
	return raw
}

// Of ten changes four are a zone's list, three a revision, three a drain or its end.
func (h *history) change(w *world, proposer *process) *committed {
	switch n := h.rng.IntN(10); {
	case n < 4:
		return h.list(w, h.rng.IntN(w.zones))
	case n < 7:
		return h.text(w)
	default:
		server := h.rng.IntN(w.zones * w.spec.ZoneServers)
		c := storestate.Change{ProposedAt: w.clock(proposer), Kind: storestate.StartDrain, Name: serverlist.FormatID(policy.CacheID(server + 1))}
		e := distribution.Entry{Kind: distribution.Drain, Name: c.Name, EffectiveAt: int64(c.ProposedAt)}
		if h.drained[server] {
			c.Kind, e.Kind, e.EffectiveAt = storestate.EndDrain, distribution.DrainEnded, 0
		}
		h.drained[server] = !h.drained[server]
		return &committed{entry: e, stream: changes, change: h.encode(c)}
	}
}

func (h *history) text(w *world) *committed {
	h.number++
	text := fmt.Sprintf(`{"limits": {"requests": %d, "connect_ms": 300, "idle_ms": 60000, "streams_per_connection": 64}}`, 1000+h.number)
	text += " // " + strings.Repeat("x", max(0, w.spec.RevisionBytes-len(text)-5)) + "\n"
	c := storestate.Change{Kind: storestate.SetConfig, BaseRevision: h.number - 1, Text: text, Author: "operator"}
	return &committed{entry: distribution.Entry{Kind: distribution.Revision, Version: h.number, Body: []byte(text)}, stream: changes, change: h.encode(c)}
}

// sourceName is that of a zone's list.
func sourceName(zone int) string { return fmt.Sprintf("zone-%d", zone) }

func (h *history) list(w *world, zone int) *committed {
	h.lists[zone]++
	l := &storestate.List{Generation: h.lists[zone]}
	for i := range w.spec.ZoneServers {
		n := zone*w.spec.ZoneServers + i
		host := fmt.Sprintf("10.%d.%d.%d", n>>16&255, n>>8&255, n&255)
		s := serverlist.Server{
			ID: policy.CacheID(n + 1), Host: host, Port: 4100, Addr: host + ":4100", Zone: fmt.Sprint("z", zone), Kind: "cache",
			Weight: float64(4 + h.rng.IntN(12)),
		}
		l.Servers = append(l.Servers, s)
	}
	raw := h.encode(storestate.Change{Kind: storestate.SetList, Name: sourceName(zone), List: l})
	return &committed{entry: distribution.Entry{Kind: distribution.List, Name: sourceName(zone), Version: l.Generation, Body: raw}, stream: changes, change: raw}
}

// key is what a later entry must have in common to cover an earlier one.
func key(e distribution.Entry) string {
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
func (h *history) commit(now float64, c *committed) {
	h.index += 1 + uint64(h.rng.IntN(2))
	c.at, c.entry.Sequence = now, h.index
	c.joined = c.entry
	k := key(c.entry)
	c.key = k
	if old := h.last[k]; old != nil {
		if old.cover == 0 {
			old.cover = h.index
		}
		c.joined.EffectiveAt, c.joined.ExpiresAt = max(c.entry.EffectiveAt, old.joined.EffectiveAt), max(c.entry.ExpiresAt, old.joined.ExpiresAt)
		if c.entry.Kind == distribution.Drain {
			c.joined.EffectiveAt = min(c.entry.EffectiveAt, old.joined.EffectiveAt)
		}
	}
	h.last[k] = c
	switch g := c.entry.Group; c.entry.Kind {
	case distribution.PurgeObject:
		h.grouped[g] = append(h.grouped[g], c)
	case distribution.PurgeGroup:
		var left []*committed
		for _, old := range h.grouped[g] {
			switch {
			case old.cover != 0:
			case old.joined.EffectiveAt <= c.joined.EffectiveAt && old.joined.ExpiresAt <= c.joined.ExpiresAt:
				old.cover = h.index
			default:
				left = append(left, old)
			}
		}
		h.grouped[g] = left
	}
	h.log[c.stream] = append(h.log[c.stream], c)
	h.all = append(h.all, c)
}

// draw is what is proposed in so many ms.
func (h *history) draw(w *world, ms float64) (out []*committed) {
	proposer := func() *process { return w.byRole[Store][h.rng.IntN(len(w.byRole[Store]))] }
	for range poisson(h.rng, w.spec.Purges*w.burst*ms/1000) {
		out = append(out, h.purge(w, proposer()))
	}
	for range poisson(h.rng, w.spec.Changes/86_400*ms/1000) {
		out = append(out, h.change(w, proposer()))
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
func (h *history) whole(stream, upTo int, now int64) []distribution.Entry {
	if upTo == 0 {
		return nil
	}
	through := h.log[stream][upTo-1].entry.Sequence
	var out []distribution.Entry
	for _, c := range h.log[stream][:upTo] {
		if c.live(through, now) {
			out = append(out, c.entry)
		}
	}
	return out
}

// live tells whether an entry still says something in the state at a sequence and a time.
func (c *committed) live(through uint64, now int64) bool {
	if c.cover != 0 && c.cover <= through || c.entry.Kind == distribution.DrainEnded {
		return false
	}
	return c.entry.ExpiresAt == 0 || c.entry.ExpiresAt > now
}
