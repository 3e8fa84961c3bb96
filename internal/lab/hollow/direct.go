package hollow

import (
	"math"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
)

// direct is today's way: every process is a member of the store's cluster that does not vote, and its leader sends each of
// them every entry, and heartbeats in between, as hashicorp/raft does. The algorithm is modelled; the bytes are those of the
// real transport, see measureRaft; what followers do with an entry is the real code.
type direct struct {
	w     *world
	sizes raftSizes
	feeds []*feed // by process; nil: a member of the store
	leads *process
	term  int
	rng   *rand.Rand // of the pauses between heartbeats
}

// feed is what the leader knows of one follower.
type feed struct {
	to            *process
	c             *conn // nil: none is open
	next, acked   int   // places in the log of all
	flight        int   // requests without an answer
	fails         int
	retry, silent float64 // when to try again, and when the answer is late; 0: neither
	beat          float64
}

// follower is a process of today's way.
type follower struct {
	kept int // entries that it has, on its disk: a restart does not lose them
}

// appended is a request of the leader, or with none a heartbeat.
type appended struct {
	from, to int
	answer   bool
	has      int // of an answer: what the follower has
}

// What hashicorp/raft 1.6 does by itself: entries in a request, requests on their way to one follower, the pause after a
// failure (doubling), the time that an answer may take, and the mean between two heartbeats.
const (
	raftMostEntries = 64
	raftInFlight    = 2
	raftPauseFrom   = 10.0
	raftPauseMost   = 10_240.0
	raftWait        = 2000.0
	raftBeat        = 150.0
)

func newDirect(w *world) *direct {
	d := &direct{w: w, sizes: measureRaft(), rng: stream(w.spec.Seed, "raft"), feeds: make([]*feed, len(w.processes))}
	return d
}

// guards implements way: nothing in today's follower says that it may be behind.
func (d *direct) guards() bool { return false }

// begin implements way.
func (d *direct) begin(p *process) {
	if p.whole {
		p.applier = newApplier(d.w, p, true)
	}
	if p.role == Store {
		return
	}
	p.next = [2]int{}
	for _, c := range d.w.history.all[:p.follow.kept] { // from its disk
		p.next[c.stream]++
		if p.applier != nil {
			p.applier.change(c.change)
		}
	}
}

// committed implements way.
func (d *direct) committed(p *process, batch []*committed, _ int64) {
	for _, c := range batch {
		p.next[c.stream]++
	}
	if p != d.w.leader {
		return
	}
	d.lead(p)
	for _, f := range d.feeds {
		if f != nil {
			d.pump(f)
		}
	}
}

// lead begins to feed all, at the first entry of a leader.
func (d *direct) lead(p *process) {
	if d.leads == p && d.term == d.w.epochs {
		return
	}
	d.leads, d.term = p, d.w.epochs
	d.feeds = make([]*feed, len(d.w.processes))
	if d.w.spec.LeaderOutKBPerS > 0 {
		p.outRate = d.w.spec.LeaderOutKBPerS
	}
	for _, q := range d.w.processes {
		if q.role != Store {
			f := &feed{to: q, next: q.follow.kept, acked: q.follow.kept, beat: d.w.now + raftBeat*d.rng.Float64()}
			d.feeds[q.id] = f
			d.open(f)
		}
	}
	d.w.wake(p, slotDirect, timerEvery)
}

// timerEvery ms the leader looks at its timers.
const timerEvery = 20.0

func (d *direct) open(f *feed) {
	f.c, f.flight = nil, 0
	f.next = f.acked
	f.silent = d.w.now + raftWait
	d.w.dial(d.w.leader, f.to, 0, distribution.Link(f.to.id+1))
}

// pump sends what a follower lacks, as long as not too much is on its way to it.
func (d *direct) pump(f *feed) {
	all := d.w.history.all
	for f.c != nil && f.flight < raftInFlight && f.next < len(all) {
		to := min(len(all), f.next+raftMostEntries)
		size := d.sizes.request
		for _, c := range all[f.next:to] {
			size += d.sizes.entry + len(c.change)
		}
		d.w.send(f.c, true, &payload{size: size, direct: appended{from: f.next, to: to}})
		f.next = to
		if f.flight++; f.silent == 0 {
			f.silent = d.w.now + raftWait
		}
	}
}

// receive implements way.
func (d *direct) receive(p *process, c *conn, up bool, load *payload) {
	a := load.direct.(appended)
	if !up {
		d.answered(p, c, a)
		return
	}
	if a.to > a.from && a.from <= p.follow.kept && a.to > p.follow.kept {
		for _, x := range d.w.history.all[p.follow.kept:a.to] {
			if p.applier != nil {
				p.applier.change(x.change)
			}
			d.w.tape.write(tapeReach, x.stream, p.id, 0, float64(x.entry.Sequence))
			d.w.check.reached(p, x.stream, x.entry.Sequence)
		}
		p.follow.kept = a.to
	}
	d.w.send(c, false, &payload{size: d.sizes.answer, direct: appended{answer: true, has: p.follow.kept, to: a.to}})
}

func (d *direct) answered(p *process, c *conn, a appended) {
	f := d.feeds[c.to.id]
	if p != d.w.leader || f == nil || f.c != c {
		return
	}
	f.fails, f.silent = 0, 0
	f.acked = max(f.acked, a.has)
	if a.to > 0 {
		f.flight = max(0, f.flight-1)
	}
	if f.flight > 0 {
		f.silent = d.w.now + raftWait
	}
	d.pump(f)
}

// connected implements way.
func (d *direct) connected(p *process, c *conn) {
	if f := d.feeds[c.to.id]; f != nil && p == d.w.leader {
		f.c, f.silent, f.next = c, 0, c.to.follow.kept
		f.acked = f.next
		d.pump(f)
	}
}

// lost implements way.
func (d *direct) lost(p *process, c *conn) {
	if f := d.feeds[c.to.id]; f != nil && p == d.w.leader && (f.c == c || f.c == nil) {
		d.fail(f)
	}
}

// fail has the leader leave a follower alone for a while.
func (d *direct) fail(f *feed) {
	if f.c != nil {
		d.w.leave(f.c, d.w.leader)
		f.c = nil
	}
	f.fails++
	f.silent, f.flight = 0, 0
	f.retry = d.w.now + min(raftPauseMost, raftPauseFrom*math.Pow(2, float64(min(f.fails, 12))))
}

// tick implements way.
func (d *direct) tick(p *process, slot int) {
	if slot == slotLedger {
		p.applier.due()
		return
	}
	if p != d.w.leader {
		return
	}
	d.w.wake(p, slotDirect, timerEvery)
	for _, f := range d.feeds {
		if f == nil {
			continue
		}
		switch now := d.w.now; {
		case f.silent > 0 && now >= f.silent:
			d.fail(f)
		case f.retry > 0 && now >= f.retry:
			f.retry = 0
			d.open(f)
		case f.c != nil && now >= f.beat:
			f.beat = now + raftBeat*(2.0/3+d.rng.Float64()*2/3)
			d.w.send(f.c, true, &payload{size: d.sizes.request, direct: appended{}})
		}
	}
}

// marked implements way: followers hear of no watermark.
func (d *direct) marked(*process, int64) {}
