package hollow

// propagator distributes what the store commits to the processes. Each mode has its own. The simulation calls it for each event.
type propagator interface {
	// processStarted starts a process, which has no state but what it has persisted.
	processStarted(p *process)
	// entriesApplied reports that a member of the store has applied entries. watermarkAt is the time of the leader's watermark in
	// Unix ms.
	entriesApplied(member *process, entries []*logEntry, watermarkAt int64)
	// watermarkAdvanced reports that a member of the store has received a watermark of the leader.
	watermarkAdvanced(member *process, watermarkAt int64)
	// messageReceived reports that p has received a message. upward is as for simulation.send.
	messageReceived(p *process, c *conn, upward bool, content *payload)
	// connected reports that a connection that p opened is ready for use.
	connected(p *process, c *conn)
	// connectionLost reports that a connection of p has ended, or that one that p tried to open was refused.
	connectionLost(p *process, c *conn)
	// timerFired reports that a timer of p is due.
	timerFired(p *process, slot timerSlot)
	// hasFreshnessGate reports whether processes have a freshness gate, which closes when they may lag.
	hasFreshnessGate() bool
}
