// Package handover decides which of several processes owns a listening address while one takes over from another. One state
// machine covers a process's whole life: it looks for an owner, prepares beside it, owns the address, and hands it to a
// successor. It opens no socket and reads no clock: internal/handover carries out its actions. Its decisions are tested here,
// on a model of up to four processes under drawn orders of crashes and messages.
//
// One process owns the address at a time. A lock says that an owner is alive: it is passed on with the listener, and ends with
// the last process that holds it. A generation, one higher with each owner, decides where two processes believe that they own:
// the higher one does, and an owner's record is stored under its generation.
package handover

// ProtocolVersion is the version of the protocol between two processes. An owner of another version is treated like a silent one.
const ProtocolVersion = 1

// Settings are time-outs in ms.
type Settings struct {
	// RetryDelay is the pause between two attempts to find an owner.
	RetryDelay float64
	// ResponseTimeout is how long an owner that holds the lock may be silent before another process takes the address from it,
	// how long a successor that was granted the address has to serve, and the pause between two attempts of an owner to get
	// the lock. A shorter one replaces a process that hangs sooner, but also one that is merely slow.
	ResponseTimeout float64
	// PrepareTimeout is how long a successor may prepare, after it was sent the state, before another one is accepted.
	PrepareTimeout float64
}

// Phase is how far a process has come.
type Phase int

// The phases. From Owning on a process owns the address, or has owned it.
const (
	Seeking    Phase = iota // looking for an owner
	Preparing               // getting ready to own
	Requesting              // ready, and waiting for the owner's grant
	Owning                  // owner, without a successor
	Offering                // owner, with a successor that prepares
	Granting                // owner that has granted the address to its successor
	Stopped                 // another process owns the address
)

var phaseNames = [...]string{"seeking", "preparing", "requesting", "owning", "offering", "granting", "stopped"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// reasonSuperseded is why a process stops whose address another one owns.
const reasonSuperseded = "another process owns the address"

// Machine is the state machine of one process. It is not safe for concurrent use.
type Machine struct {
	settings   Settings
	now        float64
	phase      Phase
	phaseSince float64
	seekSince  float64 // when the process began to look for an owner
	generation uint64  // of this process once it owns; before that, the highest known to it
	actions    []Action

	ownerConnected bool // there is a connection to the owner
	lockHeld       bool // this process holds the lock
	prepared       bool // Ready has been received
	openedListener bool // this process has opened a listener itself, as no owner passed one on
	grantReceived  bool // the previous owner waits for the announcement that this process serves

	successor        int // number of its connection
	successorServing bool
	shuttingDown     bool
}

// New returns the machine of a process that has just started.
func New(s Settings) *Machine { return &Machine{settings: s} }

// Phase returns how far the process has come.
func (m *Machine) Phase() Phase { return m.phase }

// Generation returns the generation under which the process owns, once it does.
func (m *Machine) Generation() uint64 { return m.generation }

// Handle takes an event at a time in ms, and returns what is to be done.
func (m *Machine) Handle(now float64, e Event) []Action {
	m.now, m.actions = max(now, m.now), nil
	switch e := e.(type) {
	case Started:
		m.seekSince = m.now
		m.emit(ContactOwner{})
	case ContactResult:
		m.handleContactResult(e)
	case LockResult:
		m.handleLockResult(e)
	case StateReceived:
		m.handleState(e)
	case Rejected:
		m.handleRejected(e)
	case Ready:
		m.prepared = true
		m.proceedIfPrepared()
	case GrantReceived:
		m.handleGrant()
	case ClaimResult:
		m.handleClaimResult(e)
	case GrantRevoked:
		m.handleGrantRevoked()
	case OwnerLost:
		m.handleOwnerLost()
	case SuccessorHello:
		m.handleHello(e)
	case TransferRequested:
		m.handleTransferRequest(e)
	case SuccessorServing:
		if m.phase == Granting && e.From == m.successor {
			m.successorServing = true
		}
	case SuccessorLost:
		m.handleSuccessorLost(e.From)
	case Superseded:
		m.handleSuperseded(e)
	case ShutdownRequested:
		m.handleShutdown()
	case Tick:
		m.handleTick()
	}
	return m.actions
}

func (m *Machine) emit(actions ...Action) { m.actions = append(m.actions, actions...) }

func (m *Machine) enterPhase(p Phase) { m.phase, m.phaseSince = p, m.now }

// isOwner reports whether the process owns the address, with or without a successor.
func (m *Machine) isOwner() bool { return m.phase >= Owning && m.phase != Stopped }

func (m *Machine) stop(reason string) {
	m.enterPhase(Stopped)
	m.emit(SetAccepting{false}, Stop{reason})
}

// handleSuperseded stops an owner from which another process has taken the address. It goes on accepting connections: the other
// process opened a listener of its own, so that only this one can answer those queued at its listener. In phase Granting a
// higher generation is expected, as it is the successor's.
func (m *Machine) handleSuperseded(e Superseded) {
	if m.isOwner() && e.Generation > m.generation && m.phase != Granting {
		m.enterPhase(Stopped)
		m.emit(Stop{reasonSuperseded})
	}
}

// handleShutdown rejects a successor that is preparing: it will find the lock free once this process has ended.
func (m *Machine) handleShutdown() {
	m.shuttingDown = true
	if m.phase == Offering {
		m.emit(Reject{To: m.successor, Busy: true})
		m.enterPhase(Owning)
	}
}

func (m *Machine) handleTick() {
	elapsed := m.now - m.phaseSince
	switch {
	case m.phase == Seeking && m.ownerConnected:
		if elapsed >= m.settings.ResponseTimeout {
			m.ownerConnected = false
			m.emit(TryLock{})
		}
	case m.phase == Seeking:
		m.emit(ContactOwner{})
	case m.phase == Requesting && elapsed >= m.settings.ResponseTimeout && m.ownerConnected: // it answered before, and hangs now
		m.handleOwnerLost()
	case m.phase == Offering && elapsed >= m.settings.PrepareTimeout:
		m.enterPhase(Owning)
		m.emit(Reject{To: m.successor, Busy: true})
	case m.phase == Granting && elapsed >= m.settings.ResponseTimeout && !m.successorServing:
		successor := m.successor
		m.emit(Revoke{successor})
		m.handleSuccessorLost(successor)
	case m.isOwner() && !m.lockHeld:
		m.emit(TryLock{})
	}
}
