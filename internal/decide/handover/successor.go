package handover

// This file holds the decisions of an owner about its successor.

// handleHello accepts one successor at a time, and none while the process shuts down. A process of the same protocol version is
// rejected as Busy and tries again later. A process of another version is rejected without Busy, and tries to take the lock
// instead.
func (m *Machine) handleHello(e SuccessorHello) {
	sameProtocol := e.ProtocolVersion == ProtocolVersion
	if m.shuttingDown || !sameProtocol || m.phase != Owning {
		m.emit(Reject{To: e.From, Busy: sameProtocol})
		return
	}
	m.successor = e.From
	m.enterPhase(Offering)
	m.emit(SendState{e.From}, ScheduleTick{m.settings.PrepareTimeout})
}

// handleTransferRequest stops accepting connections and grants the address to the successor.
func (m *Machine) handleTransferRequest(e TransferRequested) {
	if m.phase != Offering || e.From != m.successor {
		return
	}
	m.enterPhase(Granting)
	m.successorServing = false
	m.emit(SetAccepting{false}, Grant{e.From}, ScheduleTick{m.settings.ResponseTimeout})
}

// handleSuccessorLost takes the address back from a successor that was granted it and is lost: this process still has its copies of
// the listener and the lock. It claims the generation after the next one, as the successor may have recorded the next one.
func (m *Machine) handleSuccessorLost(from int) {
	if from != m.successor {
		return
	}
	switch m.phase {
	case Offering:
		m.enterPhase(Owning)
		m.endSharingIfAlone()
	case Owning: // it was rejected before
		m.endSharingIfAlone()
	case Granting:
		m.generation++
		m.claimNext()
	}
}
