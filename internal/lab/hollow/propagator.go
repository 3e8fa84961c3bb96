package hollow

// propagator brings what the store commits to the processes.
type propagator interface {
	// processStarted has a process start, with nothing but what it has on disk.
	processStarted(p *process)
	// entriesApplied says that a member of the store has applied entries. watermarkAt is the time of the leader's watermark.
	entriesApplied(member *process, entries []*logEntry, watermarkAt int64)
	// watermarkAdvanced says that a member of the store has received a watermark of the leader.
	watermarkAdvanced(member *process, watermarkAt int64)
	messageReceived(p *process, c *conn, upward bool, content *payload)
	connected(p *process, c *conn)
	connectionLost(p *process, c *conn)
	timerFired(p *process, slot timerSlot)
	// hasFreshnessGate reports whether processes say when they may lag.
	hasFreshnessGate() bool
}
