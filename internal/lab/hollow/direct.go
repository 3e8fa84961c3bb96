package hollow

import (
	"math"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
)

// Behaviour of hashicorp/raft 1.6, which ModeDirect models. Times are in ms.
const (
	raftMaxEntries      = 64 // in a request
	raftMaxInFlight     = 2  // requests to one follower that have no response yet
	raftMinBackoff      = 10.0
	raftMaxBackoff      = 10_240.0
	raftMaxDoublings    = 12 // of the backoff, from raftMinBackoff
	raftResponseTimeout = 2000.0
	raftHeartbeatMean   = 150.0 // mean interval between heartbeats
	// leaderTimerInterval is the interval at which the leader checks all its followers. It is the resolution of the model's timers.
	leaderTimerInterval = 20.0
)

// directPropagator implements ModeDirect: every process that is not a member of the store is a non-voting follower in its cluster.
// The leader sends every entry and heartbeats to each follower, as hashicorp/raft does. Replication is a model of that library and
// uses the message sizes of its transport (see measureRaftSizes); followers apply entries with the program's code.
type directPropagator struct {
	sim               *simulation
	sizes             raftSizes
	replications      []*followerReplication // by process id; nil for members of the store
	replicatingLeader *process               // the leader whose state replications is
	replicatingTerm   int
	rand              *rand.Rand // for the times of heartbeats
}

// followerReplication is the leader's state of the replication to one follower. Times are virtual, in ms.
type followerReplication struct {
	follower    *process
	conn        *conn   // nil: not connected
	next        int     // index in the store's log of the next entry to send
	matched     int     // entries that the follower is known to have
	inFlight    int     // requests without a response
	failures    int     // since the last response
	retryAt     float64 // when to connect again; 0: not backing off
	responseDue float64 // when the follower counts as failed; 0: no response expected
	heartbeatAt float64 // when the next heartbeat is due
}

// appendMessage is a request of the leader, or a follower's response. A request without entries is a heartbeat.
type appendMessage struct {
	from, to   int // range of indices in the store's log; a response repeats `to`
	isResponse bool
	persisted  int // of a response: entries that the follower has
}

func newDirectPropagator(sim *simulation) *directPropagator {
	return &directPropagator{
		sim:          sim,
		sizes:        measureRaftSizes(),
		replications: make([]*followerReplication, len(sim.processes)),
		rand:         newRand(sim.scenario.Seed, "raft"),
	}
}

// hasFreshnessGate implements propagator. A follower cannot tell that it lags, so that it has no gate.
func (d *directPropagator) hasFreshnessGate() bool { return false }

// processStarted implements propagator. A follower applies the log that it has persisted.
func (d *directPropagator) processStarted(p *process) {
	if p.full {
		p.applier = newApplier(d.sim, p, true)
	}
	if p.role == StoreMember {
		return
	}
	p.applied = [streamCount]int{}
	for _, entry := range d.sim.log.entries[:p.persisted] {
		p.applied[entry.stream]++
		if p.applier != nil {
			p.applier.applyChange(entry.encodedChange)
		}
	}
}

// entriesApplied implements propagator.
func (d *directPropagator) entriesApplied(member *process, entries []*logEntry, _ int64) {
	for _, entry := range entries {
		member.applied[entry.stream]++
	}
	if member != d.sim.leader {
		return
	}
	d.startReplication(member)
	for _, r := range d.replications {
		if r != nil {
			d.sendMissing(r)
		}
	}
}

// watermarkAdvanced implements propagator. It does nothing, as followers receive no watermarks.
func (d *directPropagator) watermarkAdvanced(*process, int64) {}

// startReplication connects a new leader to all followers. It does nothing if the leader has done so in this term.
func (d *directPropagator) startReplication(leader *process) {
	if d.replicatingLeader == leader && d.replicatingTerm == d.sim.term {
		return
	}
	d.replicatingLeader, d.replicatingTerm = leader, d.sim.term
	d.replications = make([]*followerReplication, len(d.sim.processes))
	if d.sim.scenario.LeaderOutKBPerS > 0 {
		leader.sendRate = d.sim.scenario.LeaderOutKBPerS // KB/s are bytes per ms
	}
	for _, p := range d.sim.processes {
		if p.role == StoreMember {
			continue
		}
		r := &followerReplication{
			follower: p, next: p.persisted, matched: p.persisted, heartbeatAt: d.sim.now + raftHeartbeatMean*d.rand.Float64(),
		}
		d.replications[p.id] = r
		d.connect(r)
	}
	d.sim.setTimer(leader, slotReplication, leaderTimerInterval)
}

func (d *directPropagator) connect(r *followerReplication) {
	r.conn, r.inFlight = nil, 0
	r.next = r.matched
	r.responseDue = d.sim.now + raftResponseTimeout
	d.sim.dial(d.sim.leader, r.follower, 0, distribution.Link(r.follower.id+1))
}

// sendMissing sends a follower the entries that it lacks, up to raftMaxInFlight requests in flight.
func (d *directPropagator) sendMissing(r *followerReplication) {
	entries := d.sim.log.entries
	for r.conn != nil && r.inFlight < raftMaxInFlight && r.next < len(entries) {
		to := min(len(entries), r.next+raftMaxEntries)
		size := d.sizes.request
		for _, entry := range entries[r.next:to] {
			size += d.sizes.entry + len(entry.encodedChange)
		}
		d.sim.send(r.conn, true, &payload{size: size, appendMessage: &appendMessage{from: r.next, to: to}})
		r.next = to
		r.inFlight++
		if r.responseDue == 0 {
			r.responseDue = d.sim.now + raftResponseTimeout
		}
	}
}

// messageReceived implements propagator.
func (d *directPropagator) messageReceived(p *process, c *conn, upward bool, content *payload) {
	if upward {
		d.handleRequest(p, c, content.appendMessage)
		return
	}
	d.handleResponse(p, c, content.appendMessage)
}

// handleRequest persists and applies, at a follower, the entries of a request that follow those it has, and sends the response.
func (d *directPropagator) handleRequest(p *process, c *conn, request *appendMessage) {
	if request.to > request.from && request.from <= p.persisted && request.to > p.persisted {
		for _, entry := range d.sim.log.entries[p.persisted:request.to] {
			if p.applier != nil {
				p.applier.applyChange(entry.encodedChange)
			}
			d.sim.trace.record(tracedCall{kind: traceApplied, detail: entry.stream, id: p.id, value: float64(entry.streamEntry.Sequence)})
			d.sim.checker.advance(p, entry.stream, entry.streamEntry.Sequence)
		}
		p.persisted = request.to
	}
	response := &appendMessage{isResponse: true, persisted: p.persisted, to: request.to}
	d.sim.send(c, false, &payload{size: d.sizes.response, appendMessage: response})
}

func (d *directPropagator) handleResponse(p *process, c *conn, response *appendMessage) {
	r := d.replications[c.to.id]
	if p != d.sim.leader || r == nil || r.conn != c {
		return
	}
	r.failures, r.responseDue = 0, 0
	r.matched = max(r.matched, response.persisted)
	if response.to > 0 {
		r.inFlight = max(0, r.inFlight-1)
	}
	if r.inFlight > 0 {
		r.responseDue = d.sim.now + raftResponseTimeout
	}
	d.sendMissing(r)
}

// connected implements propagator.
func (d *directPropagator) connected(p *process, c *conn) {
	r := d.replications[c.to.id]
	if r == nil || p != d.sim.leader {
		return
	}
	r.conn, r.responseDue = c, 0
	r.next, r.matched = c.to.persisted, c.to.persisted
	d.sendMissing(r)
}

// connectionLost implements propagator.
func (d *directPropagator) connectionLost(p *process, c *conn) {
	r := d.replications[c.to.id]
	if r != nil && p == d.sim.leader && (r.conn == c || r.conn == nil) {
		d.backOff(r)
	}
}

// backOff disconnects from a follower that failed, and schedules the next attempt to connect.
func (d *directPropagator) backOff(r *followerReplication) {
	if r.conn != nil {
		d.sim.disconnect(r.conn, d.sim.leader)
		r.conn = nil
	}
	r.failures++
	r.responseDue, r.inFlight = 0, 0
	doublings := float64(min(r.failures, raftMaxDoublings))
	r.retryAt = d.sim.now + min(raftMaxBackoff, raftMinBackoff*math.Pow(2, doublings))
}

// timerFired implements propagator.
func (d *directPropagator) timerFired(p *process, slot timerSlot) {
	if slot == slotMembership {
		p.applier.tableTimerFired()
		return
	}
	if p != d.sim.leader {
		return
	}
	d.sim.setTimer(p, slotReplication, leaderTimerInterval)
	for _, r := range d.replications {
		if r != nil {
			d.checkFollower(r)
		}
	}
}

// checkFollower does what is due for one follower: disconnect after a missing response, connect again, or send a heartbeat.
func (d *directPropagator) checkFollower(r *followerReplication) {
	now := d.sim.now
	switch {
	case r.responseDue > 0 && now >= r.responseDue:
		d.backOff(r)
	case r.retryAt > 0 && now >= r.retryAt:
		r.retryAt = 0
		d.connect(r)
	case r.conn != nil && now >= r.heartbeatAt:
		r.heartbeatAt = now + raftHeartbeatMean*(2.0/3+d.rand.Float64()*2/3)
		d.sim.send(r.conn, true, &payload{size: d.sizes.request, appendMessage: &appendMessage{}})
	}
}
