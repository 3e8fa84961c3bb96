package handover

// Event is an input of the Machine. Other processes are identified by a number that is new with each connection.
type Event interface{ event() }

// Events of a process that starts.
type (
	// Started says that the process begins to look for an owner.
	Started struct{}
	// LockResult answers TryLock. Generation is that of the last recorded owner; 0: none is recorded.
	LockResult struct {
		Acquired   bool
		Generation uint64
	}
	// ContactResult answers ContactOwner: whether an owner could be reached.
	ContactResult struct{ OK bool }
	// StateReceived says that the owner has sent its state, and which protocol version and generation it has.
	StateReceived struct {
		ProtocolVersion int
		Generation      uint64
	}
	// Rejected says that the owner accepts no successor now (Busy), or none of this protocol version.
	Rejected struct{ Busy bool }
	// Ready says that the process is prepared to own the address.
	Ready struct{}
	// GrantReceived says that the owner has passed on the listener and the lock.
	GrantReceived struct{}
	// GrantRevoked says that the owner has taken them back.
	GrantRevoked struct{}
	// OwnerLost says that the connection to the owner has ended.
	OwnerLost struct{}
	// ClaimResult answers Claim: whether the generation is now this process's. Generation is the recorded one.
	ClaimResult struct {
		OK         bool
		Generation uint64
	}
)

// Events of an owner.
type (
	// SuccessorHello says that a process asks to become the successor.
	SuccessorHello struct{ From, ProtocolVersion int }
	// TransferRequested says that the successor is prepared, and asks for the address.
	TransferRequested struct{ From int }
	// SuccessorServing says that the successor owns the address and serves.
	SuccessorServing struct{ From int }
	// SuccessorLost says that the connection to a successor has ended.
	SuccessorLost struct{ From int }
	// Superseded says that another process is recorded as the owner, under a generation.
	Superseded struct{ Generation uint64 }
)

// Events of any process.
type (
	// ShutdownRequested says that the process was told to end.
	ShutdownRequested struct{}
	// Tick says that the time of a ScheduleTick has come.
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
