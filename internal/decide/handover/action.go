package handover

// Action is an output of the Machine. Actions are carried out in order.
type Action interface{ action() }

// Actions of a process that starts.
type (
	// TryLock tries to take the lock without waiting, and reads the recorded generation; answered by LockResult.
	TryLock struct{}
	// ContactOwner connects to the owner and sends a hello; answered by ContactResult, and then by StateReceived, Rejected or
	// OwnerLost.
	ContactOwner struct{}
	// Listen opens a listener of this process's own, beside any that another process has.
	Listen struct{}
	// Prepare lets the process use the state that it has received, if any, and waits for Ready. NoOwner: there is no owner
	// that sent one.
	Prepare struct{ NoOwner bool }
	// RequestTransfer asks the owner for the address.
	RequestTransfer struct{}
	// Claim records a generation as this process's unless one as high is recorded, atomically; answered by ClaimResult. Two
	// processes that replace the same silent owner must not own under one generation.
	Claim struct{ Generation uint64 }
	// BecomeOwner says that this process owns the address from now on, and lets successors find it.
	BecomeOwner struct{ Generation uint64 }
	// AnnounceServing tells the previous owner that this process serves.
	AnnounceServing struct{}
)

// Actions of an owner.
type (
	// SendState sends the state to a successor.
	SendState struct{ To int }
	// Reject tells a process that no successor is accepted now (Busy), or none of its protocol version.
	Reject struct {
		To   int
		Busy bool
	}
	// Grant passes on the listener and the lock. This process keeps its copies of both.
	Grant struct{ To int }
	// Revoke takes them back, and ends the connection.
	Revoke struct{ To int }
)

// Actions of any process.
type (
	// SetAccepting starts or stops accepting new connections.
	SetAccepting struct{ On bool }
	// EndSharing says that no other process is left: all that the limits allow is this one's.
	EndSharing struct{}
	// Stop says that another process owns the address: open requests are answered, and the process ends.
	Stop struct{ Reason string }
	// ScheduleTick asks for a Tick after this many ms, in place of one that was asked for before.
	ScheduleTick struct{ After float64 }
)

func (TryLock) action()         {}
func (ContactOwner) action()    {}
func (Listen) action()          {}
func (Prepare) action()         {}
func (RequestTransfer) action() {}
func (Claim) action()           {}
func (BecomeOwner) action()     {}
func (AnnounceServing) action() {}
func (SendState) action()       {}
func (Reject) action()          {}
func (Grant) action()           {}
func (Revoke) action()          {}
func (SetAccepting) action()    {}
func (EndSharing) action()      {}
func (Stop) action()            {}
func (ScheduleTick) action()    {}
