package handover

// Event is an input of the Machine. From identifies another process by the number of its connection; each connection has a new
// number.
type Event interface{ event() }

// Events of a process that starts.
type (
	// Started reports that the process begins to look for an owner.
	Started struct{}
	// LockResult answers TryLock: whether this process holds the lock. Generation is that of the last recorded owner; 0: none is
	// recorded.
	LockResult struct {
		Acquired   bool
		Generation uint64
	}
	// ContactResult answers ContactOwner: whether an owner was reached.
	ContactResult struct{ OK bool }
	// StateReceived reports that the owner has sent its state, with the owner's protocol version and generation.
	StateReceived struct {
		ProtocolVersion int
		Generation      uint64
	}
	// Rejected reports that the owner accepts no successor now (Busy), or no successor of this protocol version.
	Rejected struct{ Busy bool }
	// Ready reports that the process is prepared to own the address.
	Ready struct{}
	// GrantReceived reports that the owner has passed on the listener and the lock.
	GrantReceived struct{}
	// GrantRevoked reports that the owner has taken the listener and the lock back.
	GrantRevoked struct{}
	// OwnerLost reports that the connection to the owner has ended.
	OwnerLost struct{}
	// ClaimResult answers Claim: whether the claimed generation was recorded. Generation is the one now recorded.
	ClaimResult struct {
		OK         bool
		Generation uint64
	}
)

// Events of an owner.
type (
	// SuccessorHello reports that a process asks to become the successor.
	SuccessorHello struct{ From, ProtocolVersion int }
	// TransferRequested reports that the successor is prepared and requests the address.
	TransferRequested struct{ From int }
	// SuccessorServing reports that the successor owns the address and serves.
	SuccessorServing struct{ From int }
	// SuccessorLost reports that the connection to a successor has ended.
	SuccessorLost struct{ From int }
	// Superseded reports the generation of the recorded owner. If it is higher than this process's, another process is the owner.
	Superseded struct{ Generation uint64 }
)

// Events of any process.
type (
	// ShutdownRequested reports that this process was told to shut down.
	ShutdownRequested struct{}
	// Tick reports that the time of a ScheduleTick has come.
	Tick struct{}
)

func (Started) event()           {}
func (LockResult) event()        {}
func (ContactResult) event()     {}
func (StateReceived) event()     {}
func (Rejected) event()          {}
func (Ready) event()             {}
func (GrantReceived) event()     {}
func (GrantRevoked) event()      {}
func (OwnerLost) event()         {}
func (ClaimResult) event()       {}
func (SuccessorHello) event()    {}
func (TransferRequested) event() {}
func (SuccessorServing) event()  {}
func (SuccessorLost) event()     {}
func (Superseded) event()        {}
func (ShutdownRequested) event() {}
func (Tick) event()              {}
