// Package handover decides which of several processes owns a listening address while one takes over from another. One state
// machine covers a process's whole life: it looks for an owner, prepares while that owner still serves, owns the address, and
// hands it to a successor. It opens no socket and reads no clock: internal/handover carries out its actions. Its tests run a
// model of up to four processes with random orders of crashes and messages.
//
// One process owns the address at a time. A lock shows that an owner is alive: the owner passes it on with the listener, and it is
// free once the last process that holds it has ended. Each owner has a generation, one higher than the highest known one, or two
// higher than its previous one if it takes the address back, and stores its record under its generation. If two processes both act
// as the owner, the one of the higher generation is the owner.
package handover

// ProtocolVersion is the version of the protocol between two processes. A process treats an owner of another version like an owner
// that does not respond.
const ProtocolVersion = 1

// Settings are time-outs in ms.
type Settings struct {
	// RetryDelay is the pause between two attempts to find an owner.
	RetryDelay float64
	// ResponseTimeout bounds three waits: how long an owner that holds the lock may not respond before another process takes
	// the address from it; how long a successor that was granted the address may take until it serves; and the pause between two
	// attempts of an owner to get the lock. A shorter time-out replaces a process that hangs sooner, but also one that is merely
	// slow.
	ResponseTimeout float64
	// PrepareTimeout is how long a successor may prepare, after the owner has sent it the state, before the owner rejects it and
	// accepts another one.
	PrepareTimeout float64
}

// Phase is what a process does in the handover of the address: it passes from Seeking to Owning, and from Owning to Stopped.
type Phase int

// The phases. From Owning on, a process owns the address or has owned it.
const (
	Seeking    Phase = iota // looking for an owner
	Preparing               // loading the state, if any, before it can own the address
	Requesting              // prepared, and waiting for the owner to grant the address
	Owning                  // owner, without a successor
	Offering                // owner, with a successor that prepares
	Granting                // owner that has granted the address to its successor
	Stopped                 // no longer the owner: another process owns the address
)

var phaseNames = [...]string{"seeking", "preparing", "requesting", "owning", "offering", "granting", "stopped"}

// String returns the phase's name.
func (p Phase) String() string { return phaseNames[p] }

// reasonSuperseded is why a process stops once another process owns its address.
const reasonSuperseded = "another process owns the address"

// Machine is the state machine of one process. It is not safe for concurrent use.
type Machine struct {
	settings   Settings
	now        float64 // time of the event being handled, in ms
	phase      Phase
	phaseSince float64 // when the phase began or, in Seeking, when the owner was reached, in ms
	seekSince  float64 // when the process began to look for an owner, in ms
	generation uint64  // of this process once it owns the address; before that, the highest known to it
	actions    []Action

	ownerConnected bool // there is a connection to the owner
	lockHeld       bool // this process holds the lock
	prepared       bool // Ready has been received
	openedListener bool // this process has opened a listener itself, as no owner passed one on
	grantReceived  bool // the previous owner has granted the address, and AnnounceServing is still to be sent to it

	successor        int  // number of the successor's connection
	successorServing bool // the successor has announced that it serves
	shuttingDown     bool // ShutdownRequested has been received
}

// New returns the machine of a process that has just started.
func New(s Settings) *Machine { return &Machine{settings: s} }

// Phase returns the process's phase.
func (m *Machine) Phase() Phase { return m.phase }

// Generation returns the generation under which the process owns the address. Before it owns the address, it returns the highest
// generation known to the process.
func (m *Machine) Generation() uint64 { return m.generation }

// Handle handles an event at a time in ms, and returns the actions to carry out.
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

// isOwner reports whether the process owns the address, with or without a successor. An owner that has granted the address to its
// successor counts, as it takes the address back if the successor fails.
func (m *Machine) isOwner() bool { return m.phase >= Owning && m.phase != Stopped }

// endSharingIfAlone ends the sharing of limits if no other process is left: this process is an owner without a successor, its
// predecessor is gone, and it holds the lock, which an owner that hangs would hold otherwise.
func (m *Machine) endSharingIfAlone() {
	if m.phase == Owning && m.lockHeld && !m.ownerConnected {
		m.emit(EndSharing{})
	}
}

// stop enters phase Stopped and stops accepting connections: the other process accepts them at the same listener.
func (m *Machine) stop(reason string) {
	m.enterPhase(Stopped)
	m.emit(BeginSharing{}, SetAccepting{false}, Stop{reason})
}

// handleSuperseded stops an owner from which another process has taken the address. The stopped process continues to accept
// connections: the other process has opened a listener of its own, so that only this process can answer the connections queued at
// its own listener. In phase Granting a higher recorded generation is no reason to stop: it is the successor's.
func (m *Machine) handleSuperseded(e Superseded) {
	if m.isOwner() && e.Generation > m.generation && m.phase != Granting {
		m.enterPhase(Stopped)
		m.emit(BeginSharing{}, Stop{reasonSuperseded})
	}
}

// handleShutdown rejects a successor that is preparing. The successor finds the lock free once this process has ended.
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
	case m.phase == Requesting && elapsed >= m.settings.ResponseTimeout && m.ownerConnected: // the owner sent its state and now hangs
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
