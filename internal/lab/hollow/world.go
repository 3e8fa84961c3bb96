// Package hollow plays the control traffic of thousands of processes in one: hollow processes that run the very packages
// which receive and put in force what the store commits (internal/decide/distribution, replica, membership, the module's
// lists and purges), without front, upstream or traffic. Time is virtual and one seed gives one run; processor time and
// heap are real. Beside it, today's way: a leader that feeds every process entry by entry. It decides nothing that the
// program decides. What must hold is checked by what reaches a process, against what was committed. Tested here.
package hollow

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// world is one run.
type world struct {
	queue
	spec      Spec
	processes []*process
	byName    map[string]*process
	byRole    [nRoles][]*process
	zones     int
	servers   map[string]policy.CacheID
	near      map[[2]int][]distribution.Peer // candidates by region and rank
	history   *history
	check     *checker
	way       way
	meter     *meter
	tape      *tape      // nil: what machines ask for is not kept
	conns     []*conn    // all that ever were
	chance    *rand.Rand // of the network
	faults    *rand.Rand

	leader    *process // nil: none
	epochs    int      // leaders so far
	markAt    int64    // of the last heartbeat, by the clock of the leader of then: commits do not move it
	cutRegion int      // -1: none
	loss      float64
	burst     float64

	until func() bool // ends the run early; nil: nothing does

	handshakes, snapshots int
	lagged, worstLag      float64 // when a process last lagged, and the most in this stretch
	phases                []Phase
	healed                []Healed
	costs                 []RoleCost
}

// newWorld makes a fleet of n processes.
func newWorld(s Spec, n int, direct bool) *world {
	w := &world{
		spec: s, byName: map[string]*process{}, cutRegion: -1, burst: 1, chance: stream(s.Seed, "network"), faults: stream(s.Seed, "faults"),
		near: map[[2]int][]distribution.Peer{}, servers: map[string]policy.CacheID{}, lagged: -1,
	}
	w.fleet(n)
	for i := range w.zones * s.ZoneServers {
		id := policy.CacheID(i + 1)
		w.servers[serverlist.FormatID(id)] = id
	}
	w.history = newHistory(w)
	w.check = newChecker(w)
	w.meter = &meter{}
	if direct {
		w.way = newDirect(w)
	} else {
		w.way = &levels{w: w, causes: map[string]int{}}
	}
	return w
}

// zoneOf is the zone of a server.
func (w *world) zoneOf(id policy.CacheID) int { return (int(id) - 1) / w.spec.ZoneServers }

// clock is Unix ms as a process reads it.
func (w *world) clock(p *process) float64 { return epoch0 + w.now + p.offset }

// candidates are the distributors that a process's registry tells of: all of its own region, and the levels above of all.
func (w *world) candidates(p *process) (out []distribution.Peer) {
	for rank := 0; rank < int(p.role); rank++ {
		region := -1
		if rank == int(Zone) {
			region = p.region
		}
		k := [2]int{region, rank}
		if w.near[k] == nil {
			for _, x := range w.byRole[rank] {
				if region < 0 || x.region == region {
					w.near[k] = append(w.near[k], x.peer())
				}
			}
		}
		out = append(out, w.near[k]...)
	}
	return out
}

// demand is how many share the load of a distributor: proxies and distributors of a zone, or distributors of zones and
// relays of a region.
func (w *world) demand(p *process) distribution.Demand {
	d := distribution.Demand{}
	for _, x := range w.byRole[p.role] {
		if x.region == p.region && x.zone == p.zone {
			d.Distributors++
		}
	}
	for _, x := range w.byRole[p.role+1] {
		if x.region == p.region && (p.role == Relay || x.zone == p.zone) {
			d.Subscribers++
		}
	}
	return d
}

// start has all processes begin, the store's first facts committed.
func (w *world) start() {
	w.leader = w.byRole[Store][0]
	w.markAt = int64(math.Floor(w.clock(w.leader)))
	var first []*committed
	for z := range w.zones {
		first = append(first, w.history.list(w, z))
	}
	first = append(first, w.history.text(w), w.history.purge(w, w.leader))
	for _, c := range first {
		w.history.commit(0, c)
	}
	for _, p := range w.processes {
		w.meter.begin(w, p)
	}
	for _, v := range w.byRole[Store] {
		w.follow(v, len(w.history.all), w.markAt)
	}
	w.after(0, w.beat)
	w.after(w.spec.BatchMs, w.commit)
	w.after(sweepEvery, w.sweep)
	w.after(warmUp, w.reset)
	w.after(warmUp+w.spec.Seconds*1000-1, func() {
		for role, ps := range w.byRole {
			w.costs = append(w.costs, w.cost(Role(role), ps, w.spec.Seconds))
		}
	})
	w.arrange()
}

// reset has what the fleet's start cost not counted.
func (w *world) reset() {
	w.meter.roles = [nRoles]Spent{}
	for _, p := range w.processes {
		p.in, p.out = flow{}, flow{}
	}
}

// end is when a run is over: what was committed last has had its time.
func (w *world) end() float64 { return warmUp + (w.spec.Seconds+w.spec.Settle)*1000 }

// warmUp ms pass before times of faults begin: the fleet starts in its first instant, all at once.
const warmUp = 10_000

// commit proposes what has come up, and commits it if there is a leader.
func (w *world) commit() {
	h := w.history
	if w.now < warmUp+w.spec.Seconds*1000 {
		h.waiting = append(h.waiting, h.draw(w, w.spec.BatchMs)...)
		w.after(w.spec.BatchMs, w.commit)
	}
	w.flush()
}

func (w *world) flush() {
	h := w.history
	if w.leader == nil || len(h.waiting) == 0 {
		return
	}
	bytes := 0
	for _, c := range h.waiting {
		h.commit(w.now, c)
		bytes += len(c.change)
	}
	h.waiting = nil
	head, at := len(h.all), w.markAt
	w.follow(w.leader, head, at)
	for _, v := range w.byRole[Store] {
		if v != w.leader && v.up && w.passes(w.leader, v) {
			w.count(&w.leader.out, &v.in, w.leader, v, bytes+w.spec.RecordBytes)
			w.after(w.distance(w.leader, v), func() { w.follow(v, head, at) })
		}
	}
}

// follow has a member of the store apply what it has not, up to a place in the log that the leader told it of at a time of
// the leader's clock.
func (w *world) follow(v *process, head int, at int64) {
	if !v.up || w.leader != v && (w.leader == nil || !w.passes(w.leader, v)) {
		return
	}
	if had := v.next[0] + v.next[1]; head > had {
		w.meter.commit(w, v, w.history.all[had:head], at)
	}
}

// followAll has a member that was away ask the leader.
func (w *world) followAll(v *process) {
	if w.leader == nil {
		return
	}
	head, at := len(w.history.all), w.markAt
	w.after(2*w.distance(w.leader, v), func() { w.follow(v, head, at) })
}

// beat has the leader say how complete the log is. Members of the store hear it from it.
func (w *world) beat() {
	w.after(heartbeat, w.beat)
	if w.leader == nil {
		return
	}
	w.markAt = int64(math.Floor(w.clock(w.leader)))
	head, at := len(w.history.all), w.markAt
	for _, v := range w.byRole[Store] {
		if v.up && w.passes(w.leader, v) {
			w.after(w.distance(w.leader, v), func() {
				w.follow(v, head, at)
				if v.up {
					w.meter.mark(w, v, at)
				}
			})
		}
	}
}

// heartbeat ms between two marks, as distribution.Defaults has it.
const heartbeat = 500.0

func (w *world) sweep() {
	w.after(sweepEvery, w.sweep)
	if w.now >= warmUp {
		w.check.sweep()
	}
}

// wake sets a process's timer, in place of what it was set to.
func (w *world) wake(p *process, slot int, after float64) {
	w.tape.write(tapeWake, slot, p.id, 0, after)
	t := &p.timers[slot]
	t.due = w.now + max(0, after)
	if t.out == 0 || t.due < t.out {
		t.out = t.due
		w.push(event{at: t.due, kind: atTick, process: p, slot: uint8(slot), life: p.life})
	}
}

// tick is an event of a timer: due, or to be put off.
func (w *world) tick(e event) {
	p, t := e.process, &e.process.timers[e.slot]
	if !p.up || p.life != e.life || t.out != e.at {
		return // of an earlier life, or one that an earlier event has taken the place of
	}
	if p.stopped {
		p.inbox = append(p.inbox, e)
		return
	}
	t.out = 0
	switch {
	case t.due == 0:
	case t.due > w.now:
		t.out = t.due
		w.push(event{at: t.due, kind: atTick, process: p, slot: e.slot, life: p.life})
	default:
		t.due = 0
		w.meter.tick(w, p, int(e.slot))
	}
}

// run plays to the end, or until ctx ends.
func (w *world) run(ctx context.Context) error {
	w.start()
	const look = 1 << 14 // events between looks at ctx
	for {
		if w.done%look == 0 && ctx.Err() != nil {
			return fmt.Errorf("scale: stopped at %.1f s: %w", w.now/1000, ctx.Err())
		}
		e, ok := w.next()
		if !ok || e.at > w.end() || w.until != nil && w.until() {
			break
		}
		w.happen(e)
	}
	w.check.end()
	return nil
}

func (w *world) happen(e event) {
	switch e.kind {
	case atDeliver:
		w.deliver(e)
	case atConnected:
		switch p := e.process; {
		case p.stopped:
			p.inbox = append(p.inbox, e)
		case p.up && p.life == e.life && !e.c.closed && !e.c.broken:
			w.meter.connected(w, p, e.c)
		}
	case atLost:
		w.lost(e)
	case atTick:
		w.tick(e)
	case atCall:
		e.call()
	}
}
