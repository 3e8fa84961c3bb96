package hollow

import (
	"math"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
)

// direct is today's way: every process is a member of the store's cluster that does not vote, and its leader sends each of
// them every entry, and heartbeats in between, as hashicorp/raft does. The algorithm is modelled; the bytes are those of the
// real transport, see measureRaft; what followers do with an entry is the real code.
type directPropagator struct {
	sim           *simulation
	sizes         raftSizes
	replications  []*followerReplication // by process; nil: a member of the store
	feedingLeader *process
	feedingTerm   int
	rand          *rand.Rand // of the pauses between heartbeats
}

// feed is what the leader knows of one follower.
type followerReplication struct {
	follower             *process
	conn                 *conn // nil: none is open
	next, acked          int   // places in the log of all
	inFlight             int   // requests without an answer
	failures             int
	retryAt, responseDue float64 // when to try again, and when the answer is late; 0: neither
	heartbeatAt          float64
}

// follower is a process of today's way.
type follower struct {
	persisted int // entries that it has, on its disk: a restart does not lose them
}

// appended is a request of the leader, or with none a heartbeat.
type appendMessage struct {
	from, to   int
	isResponse bool
	persisted  int // of an answer: what the follower has
}

// What hashicorp/raft 1.6 does by itself: entries in a request, requests on their way to one follower, the pause after a
// failure (doubling), the time that an answer may take, and the mean between two heartbeats.
const (
	raftMaxEntries      = 64
	raftMaxInFlight     = 2
	raftMinBackoff      = 10.0
	raftMaxBackoff      = 10_240.0
	raftResponseTimeout = 2000.0
	raftHeartbeatMean   = 150.0
)

func newDirectPropagator(sim *simulation) *directPropagator {
	d := &directPropagator{sim: sim, sizes: measureRaftSizes(), rand: newRand(sim.scenario.Seed, "raft"), replications: make([]*followerReplication, len(sim.processes))}
	return d
}

// guards implements way: nothing in today's follower says that it may be behind.
func (d *directPropagator) hasFreshnessGate() bool { return false }

// begin implements way.
func (d *directPropagator) processStarted(p *process) {
	if p.full {
		p.applier = newApplier(d.sim, p, true)
	}
	if p.role == Store {
		return
	}
	p.applied = [2]int{}
	for _, c := range d.sim.log.entries[:p.follower.persisted] { // from its disk
		p.applied[c.stream]++
		if p.applier != nil {
			p.applier.applyChange(c.encodedChange)
		}
	}
}

// committed implements way.
func (d *directPropagator) entriesApplied(p *process, batch []*logEntry, _ int64) {
	for _, c := range batch {
		p.applied[c.stream]++
	}
	if p != d.sim.leader {
		return
	}
	d.startReplication(p)
	for _, f := range d.replications {
		if f != nil {
			d.sendMissing(f)
		}
	}
}

// lead begins to feed all, at the first entry of a leader.
func (d *directPropagator) startReplication(p *process) {
	if d.feedingLeader == p && d.feedingTerm == d.sim.term {
		return
	}
	d.feedingLeader, d.feedingTerm = p, d.sim.term
	d.replications = make([]*followerReplication, len(d.sim.processes))
	if d.sim.scenario.LeaderOutKBPerS > 0 {
		p.sendRate = d.sim.scenario.LeaderOutKBPerS
	}
	for _, q := range d.sim.processes {
		if q.role != Store {
			f := &followerReplication{follower: q, next: q.follower.persisted, acked: q.follower.persisted, heartbeatAt: d.sim.now + raftHeartbeatMean*d.rand.Float64()}
			d.replications[q.id] = f
			d.connect(f)
		}
	}
	d.sim.setTimer(p, slotDirect, leaderTimerInterval)
}

// timerEvery ms the leader looks at its timers.
const leaderTimerInterval = 20.0

func (d *directPropagator) connect(f *followerReplication) {
	f.conn, f.inFlight = nil, 0
	f.next = f.acked
	f.responseDue = d.sim.now + raftResponseTimeout
	d.sim.dial(d.sim.leader, f.follower, 0, distribution.Link(f.follower.id+1))
}

// pump sends what a follower lacks, as long as not too much is on its way to it.
func (d *directPropagator) sendMissing(f *followerReplication) {
	all := d.sim.log.entries
	for f.conn != nil && f.inFlight < raftMaxInFlight && f.next < len(all) {
		to := min(len(all), f.next+raftMaxEntries)
		size := d.sizes.request
		for _, c := range all[f.next:to] {
			size += d.sizes.entry + len(c.encodedChange)
		}
		d.sim.send(f.conn, true, &payload{size: size, appendMessage: appendMessage{from: f.next, to: to}})
		f.next = to
		if f.inFlight++; f.responseDue == 0 {
			f.responseDue = d.sim.now + raftResponseTimeout
		}
	}
}

// receive implements way.
func (d *directPropagator) messageReceived(p *process, c *conn, up bool, load *payload) {
	a := load.appendMessage.(appendMessage)
	if !up {
		d.handleResponse(p, c, a)
		return
	}
	if a.to > a.from && a.from <= p.follower.persisted && a.to > p.follower.persisted {
		for _, x := range d.sim.log.entries[p.follower.persisted:a.to] {
			if p.applier != nil {
				p.applier.applyChange(x.encodedChange)
			}
			d.sim.trace.record(traceApplied, x.stream, p.id, 0, float64(x.entry.Sequence))
			d.sim.checker.advance(p, x.stream, x.entry.Sequence)
		}
		p.follower.persisted = a.to
	}
	d.sim.send(c, false, &payload{size: d.sizes.response, appendMessage: appendMessage{isResponse: true, persisted: p.follower.persisted, to: a.to}})
}

func (d *directPropagator) handleResponse(p *process, c *conn, a appendMessage) {
	f := d.replications[c.to.id]
	if p != d.sim.leader || f == nil || f.conn != c {
		return
	}
	f.failures, f.responseDue = 0, 0
	f.acked = max(f.acked, a.persisted)
	if a.to > 0 {
		f.inFlight = max(0, f.inFlight-1)
	}
	if f.inFlight > 0 {
		f.responseDue = d.sim.now + raftResponseTimeout
	}
	d.sendMissing(f)
}

// connected implements way.
func (d *directPropagator) connected(p *process, c *conn) {
	if f := d.replications[c.to.id]; f != nil && p == d.sim.leader {
		f.conn, f.responseDue, f.next = c, 0, c.to.follower.persisted
		f.acked = f.next
		d.sendMissing(f)
	}
}

// lost implements way.
func (d *directPropagator) lost(p *process, c *conn) {
	if f := d.replications[c.to.id]; f != nil && p == d.sim.leader && (f.conn == c || f.conn == nil) {
		d.backOff(f)
	}
}

// fail has the leader leave a follower alone for a while.
func (d *directPropagator) backOff(f *followerReplication) {
	if f.conn != nil {
		d.sim.disconnect(f.conn, d.sim.leader)
		f.conn = nil
	}
	f.failures++
	f.responseDue, f.inFlight = 0, 0
	f.retryAt = d.sim.now + min(raftMaxBackoff, raftMinBackoff*math.Pow(2, float64(min(f.failures, 12))))
}

// tick implements way.
func (d *directPropagator) timerFired(p *process, slot int) {
	if slot == slotLedger {
		p.applier.tick()
		return
	}
	if p != d.sim.leader {
		return
	}
	d.sim.setTimer(p, slotDirect, leaderTimerInterval)
	for _, f := range d.replications {
		if f == nil {
			continue
		}
		switch now := d.sim.now; {
		case f.responseDue > 0 && now >= f.responseDue:
			d.backOff(f)
		case f.retryAt > 0 && now >= f.retryAt:
			f.retryAt = 0
			d.connect(f)
		case f.conn != nil && now >= f.heartbeatAt:
			f.heartbeatAt = now + raftHeartbeatMean*(2.0/3+d.rand.Float64()*2/3)
			d.sim.send(f.conn, true, &payload{size: d.sizes.request, appendMessage: appendMessage{}})
		}
	}
}

// marked implements way: followers hear of no watermark.
func (d *directPropagator) watermarkAdvanced(*process, int64) {}
