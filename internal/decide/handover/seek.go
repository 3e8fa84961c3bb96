package handover

// This file holds the decisions of a process that does not own the address yet.

// seekAgain looks for an owner again after RetryDelay.
func (m *Machine) seekAgain() {
	m.enterPhase(Seeking)
	m.emit(ScheduleTick{m.settings.RetryDelay})
}

func (m *Machine) handleContactResult(e ContactResult) {
	m.ownerConnected = e.OK
	switch {
	case e.OK:
		m.phaseSince = m.now
		m.emit(ScheduleTick{m.settings.ResponseTimeout})
	case m.phase == Seeking:
		m.emit(TryLock{})
	}
}

// handleLockResult prepares the process to own the address without a grant if the lock was free, or if its holder has not responded
// within ResponseTimeout. Such a holder hangs, is suspended, or has another protocol version. The holder keeps its listener, and
// this process opens another listener at the same address. When the holder runs again it finds a higher generation recorded, and
// stops; see handleSuperseded.
func (m *Machine) handleLockResult(e LockResult) {
	m.lockHeld = m.lockHeld || e.Acquired
	if m.phase >= Owning {
		m.endSharingIfAlone()
		if !m.lockHeld && m.phase != Stopped {
			m.emit(ScheduleTick{m.settings.ResponseTimeout})
		}
		return
	}
	m.generation = max(m.generation, e.Generation)
	if m.phase != Seeking {
		return
	}
	if !e.Acquired && m.now-m.seekSince < m.settings.ResponseTimeout {
		m.emit(ScheduleTick{m.settings.RetryDelay})
		return
	}
	m.openedListener = true
	m.emit(Listen{})
	m.prepare(!m.lockHeld)
}

func (m *Machine) handleState(e StateReceived) {
	if m.phase != Seeking || !m.ownerConnected {
		return
	}
	m.generation = max(m.generation, e.Generation)
	if e.ProtocolVersion != ProtocolVersion {
		m.ownerConnected = false
		m.emit(TryLock{})
		return
	}
	m.prepare(true)
}

func (m *Machine) handleRejected(e Rejected) {
	m.ownerConnected = false
	switch {
	case m.phase == Seeking && !e.Busy:
		m.emit(TryLock{})
	case m.phase < Owning:
		m.seekAgain()
	}
}

// prepare has the process prepare to own the address. Shared is whether another process is alive. The process may be prepared
// already, if it was preparing for an owner that sent its state and then crashed.
func (m *Machine) prepare(shared bool) {
	m.enterPhase(Preparing)
	m.emit(Prepare{Shared: shared})
	if m.prepared {
		m.proceedIfPrepared()
	}
}

// proceedIfPrepared claims the address if the process has opened a listener of its own, and otherwise requests the address from the
// owner.
func (m *Machine) proceedIfPrepared() {
	if m.phase != Preparing {
		return
	}
	if m.openedListener {
		m.claimNext()
		return
	}
	m.enterPhase(Requesting)
	m.emit(RequestTransfer{}, ScheduleTick{m.settings.ResponseTimeout})
}

func (m *Machine) handleGrant() {
	if m.phase == Requesting {
		m.lockHeld, m.grantReceived = true, true
		m.claimNext()
	}
}

// claimNext claims the generation after the highest known one.
func (m *Machine) claimNext() { m.emit(Claim{m.generation + 1}) }

func (m *Machine) handleClaimResult(e ClaimResult) {
	if !e.OK {
		m.handleClaimRefused(e.Generation)
		return
	}
	m.enterPhase(Owning)
	m.generation = e.Generation
	m.emit(BecomeOwner{m.generation}, SetAccepting{true})
	if m.grantReceived {
		m.grantReceived = false
		m.emit(AnnounceServing{})
	}
	m.endSharingIfAlone()
	if !m.lockHeld {
		m.emit(ScheduleTick{m.settings.ResponseTimeout})
	}
}

// handleClaimRefused yields to the process that recorded the generation, or a higher one, first: that is the successor from which
// an owner tried to take the address back, or another process that replaced the same unresponsive owner.
func (m *Machine) handleClaimRefused(recorded uint64) {
	m.generation = max(m.generation, recorded)
	if m.phase >= Owning {
		m.stop(reasonSuperseded)
		return
	}
	m.seekSince, m.grantReceived = m.now, false
	m.seekAgain()
}

func (m *Machine) handleGrantRevoked() {
	m.ownerConnected = false
	if m.phase >= Owning {
		m.stop("the previous owner took the address back")
	} else {
		m.seekAgain()
	}
}

// handleOwnerLost handles the end of the connection to the owner, or an owner that no longer responds. Before the grant, this means
// that the owner has ended or hangs, and this process tries to take the lock. After the grant the owner was expected to end, and
// this process is the only one left, unless it has a successor.
func (m *Machine) handleOwnerLost() {
	if !m.ownerConnected {
		return
	}
	m.ownerConnected = false
	switch m.phase {
	case Seeking, Preparing, Requesting:
		m.enterPhase(Seeking)
		m.emit(TryLock{})
	case Owning:
		m.endSharingIfAlone()
	}
}
