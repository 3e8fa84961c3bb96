package handover

// This file holds the decisions of an owner about its successor.

// handleHello accepts one successor at a time, and none while the process shuts down.
func (m *Machine) handleHello(e SuccessorHello) {
	if m.shuttingDown || e.Revision != Revision || m.phase != Owning {
		m.do(Reject{e.From, e.Revision == Revision})
		return
	}
	m.successor = e.From
	m.enter(Offering)
	m.do(SendState{e.From}, ScheduleTick{m.set.Prepare})
}

// handleTransferRequest grants the address to the successor, and stops accepting connections.
func (m *Machine) handleTransferRequest(e TransferRequested) {
	if m.phase != Offering || e.From != m.successor {
		return
	}
	m.enter(Granting)
	m.successorServing = false
	m.do(SetAccepting{false}, Grant{e.From}, ScheduleTick{m.set.Patience})
}

// handleSuccessorLost takes the address back, as this process still holds all that it granted. The generation skips one,
// which the successor may have recorded.
func (m *Machine) handleSuccessorLost(from int) {
	if from != m.successor {
		return
	}
	switch m.phase {
	case Offering:
		m.enter(Owning)
	case Granting:
		m.generation++
		m.claimNext()
	}
}
