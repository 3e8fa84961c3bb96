package handover

// This file holds the decisions of a process on its way to owning the address.

// seekAgain looks for an owner once more, a little later.
func (m *Machine) seekAgain() {
	m.enter(Seeking)
	m.do(ScheduleTick{m.set.Retry})
}

func (m *Machine) handleContactResult(e ContactResult) {
	m.ownerConnected = e.OK
	switch {
	case e.OK:
		m.phaseSince = m.now
		m.do(ScheduleTick{m.set.Patience})
	case m.phase == Seeking:
		m.do(TryLock{})
	}
}

// handleLockResult goes on without an owner if the lock was free, or if its holder has been silent for too long. Such a
// holder hangs, is suspended, or speaks another protocol revision. It keeps its listener, and this process opens another one
// beside it; the generation makes the holder stop once it wakes.
func (m *Machine) handleLockResult(e LockResult) {
	m.lockHeld = m.lockHeld || e.Acquired
	if m.phase >= Owning {
		if !m.lockHeld && m.phase != Stopped {
			m.do(ScheduleTick{m.set.Patience})
		}
		return
	}
	m.generation = max(m.generation, e.Generation)
	if m.phase != Seeking {
		return
	}
	if !e.Acquired && m.now-m.seekSince < m.set.Patience {
		m.do(ScheduleTick{m.set.Retry})
		return
	}
	m.ownListener = true
	m.do(Listen{})
	m.prepare(true)
}

func (m *Machine) handleState(e StateReceived) {
	if m.phase != Seeking || !m.ownerConnected {
		return
	}
	m.generation = max(m.generation, e.Generation)
	if e.Revision != Revision {
		m.ownerConnected = false
		m.do(TryLock{})
		return
	}
	m.prepare(false)
}

func (m *Machine) handleRejected(e Rejected) {
	m.ownerConnected = false
	switch {
	case m.phase == Seeking && !e.Busy:
		m.do(TryLock{})
	case m.phase < Owning:
		m.seekAgain()
	}
}

// prepare has the process get ready. It may be ready already, for an owner that sent its state and died.
func (m *Machine) prepare(noOwner bool) {
	m.enter(Preparing)
	m.do(Prepare{NoOwner: noOwner})
	if m.prepared {
		m.proceedIfPrepared()
	}
}

// proceedIfPrepared takes the address if there is no owner, and asks the owner for it otherwise.
func (m *Machine) proceedIfPrepared() {
	if m.phase != Preparing {
		return
	}
	if m.ownListener {
		m.claimNext()
		return
	}
	m.enter(Requesting)
	m.do(RequestTransfer{}, ScheduleTick{m.set.Patience})
}

func (m *Machine) handleGrant() {
	if m.phase == Requesting {
		m.lockHeld, m.grantReceived = true, true
		m.claimNext()
	}
}

// claimNext claims the generation after the highest known one.
func (m *Machine) claimNext() { m.do(Claim{m.generation + 1}) }

func (m *Machine) handleClaimResult(e ClaimResult) {
	if !e.OK {
		m.handleClaimRefused(e.Generation)
		return
	}
	m.enter(Owning)
	m.generation = e.Generation
	m.do(BecomeOwner{m.generation}, SetAccepting{true})
	if m.grantReceived {
		m.grantReceived = false
		m.do(AnnounceServing{})
	} else if !m.ownerConnected {
		m.do(BecomeSole{})
	}
	if !m.lockHeld {
		m.do(ScheduleTick{m.set.Patience})
	}
}

// handleClaimRefused makes way for the process that claimed the generation first: the successor that an owner tried to take
// the address back from, or another process that passed over the same silent owner.
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
		m.stop("the owner before took the address back")
	} else {
		m.seekAgain()
	}
}

// handleOwnerLost: before its grant, the owner has died or hangs, and whoever gets the lock may follow it. After its grant it
// has done its part, and this process is the only one.
func (m *Machine) handleOwnerLost() {
	if !m.ownerConnected {
		return
	}
	m.ownerConnected = false
	switch m.phase {
	case Seeking, Preparing, Requesting:
		m.enter(Seeking)
		m.do(TryLock{})
	case Owning, Offering, Granting:
		m.do(BecomeSole{})
	}
}
