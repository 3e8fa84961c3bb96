package hollow

import "math"

// heartbeatInterval is the interval in ms between the leader's watermarks, as in distribution.DefaultSettings.
const heartbeatInterval = 500.0

// commitInitialState commits a server list for each zone, a revision of the configuration and one purge.
func (sim *simulation) commitInitialState() {
	sim.leader = sim.byRole[StoreMember][0]
	sim.watermarkAt = int64(math.Floor(sim.clockOf(sim.leader)))
	var first []*logEntry
	for zone := range sim.zones {
		first = append(first, sim.log.newList(sim, zone))
	}
	first = append(first, sim.log.newRevision(sim), sim.log.newPurge(sim, sim.leader))
	for _, entry := range first {
		sim.log.commit(0, entry)
	}
}

// proposeAndCommit proposes the changes of one batch interval, and commits all pending changes if there is a leader.
func (sim *simulation) proposeAndCommit() {
	if sim.now < sim.endOfLoad() {
		sim.log.pending = append(sim.log.pending, sim.log.propose(sim, sim.scenario.BatchMs)...)
		sim.after(sim.scenario.BatchMs, sim.proposeAndCommit)
	}
	sim.commitPending()
}

// commitPending commits the pending changes, and sends them from the leader to the other members.
func (sim *simulation) commitPending() {
	log := sim.log
	if sim.leader == nil || len(log.pending) == 0 {
		return
	}
	bytes := 0
	for _, entry := range log.pending {
		log.commit(sim.now, entry)
		bytes += len(entry.encodedChange)
	}
	log.pending = nil
	length, watermarkAt := len(log.entries), sim.watermarkAt
	sim.applyLog(sim.leader, length, watermarkAt)
	for _, member := range sim.byRole[StoreMember] {
		if member != sim.leader && member.up && sim.reachable(sim.leader, member) {
			sim.countBytes(sim.leader, member, bytes+sim.scenario.RecordBytes)
			sim.after(sim.latency(sim.leader, member), func() { sim.applyLog(member, length, watermarkAt) })
		}
	}
}

// applyLog applies the log at a member of the store, up to a length that the leader announced. watermarkAt is the time of that
// announcement in Unix ms on the leader's clock.
func (sim *simulation) applyLog(member *process, length int, watermarkAt int64) {
	if !member.up || sim.leader != member && (sim.leader == nil || !sim.reachable(sim.leader, member)) {
		return
	}
	applied := member.applied[purgeStream] + member.applied[changeStream]
	if length > applied {
		sim.meter.entriesApplied(sim, member, sim.log.entries[applied:length], watermarkAt)
	}
}

// catchUp lets a member of the store that was down or partitioned fetch the log from the leader.
func (sim *simulation) catchUp(member *process) {
	if sim.leader == nil {
		return
	}
	length, watermarkAt := len(sim.log.entries), sim.watermarkAt
	sim.after(2*sim.latency(sim.leader, member), func() { sim.applyLog(member, length, watermarkAt) })
}

// heartbeat sends a watermark from the leader to every member, including the leader itself.
func (sim *simulation) heartbeat() {
	sim.after(heartbeatInterval, sim.heartbeat)
	if sim.leader == nil {
		return
	}
	sim.watermarkAt = int64(math.Floor(sim.clockOf(sim.leader)))
	length, watermarkAt := len(sim.log.entries), sim.watermarkAt
	for _, member := range sim.byRole[StoreMember] {
		if !member.up || !sim.reachable(sim.leader, member) {
			continue
		}
		sim.after(sim.latency(sim.leader, member), func() {
			sim.applyLog(member, length, watermarkAt)
			if member.up {
				sim.meter.watermarkAdvanced(sim, member, watermarkAt)
			}
		})
	}
}

// electLeader begins an election if the leader is down or partitioned. The first member that is neither wins the election.
func (sim *simulation) electLeader() {
	if sim.leader == nil {
		return // an election is in progress
	}
	if sim.leader.up && sim.leader.region != sim.cutRegion {
		return
	}
	sim.leader = nil
	sim.after(sim.scenario.ElectionMs, sim.finishElection)
}

func (sim *simulation) finishElection() {
	for _, member := range sim.byRole[StoreMember] {
		if member.up && member.region != sim.cutRegion {
			sim.leader = member
			sim.term++
			sim.applyLog(member, len(sim.log.entries), sim.watermarkAt)
			sim.commitPending()
			return
		}
	}
}
