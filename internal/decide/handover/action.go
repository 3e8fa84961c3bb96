package handover

// Action is an output of the Machine. Actions are carried out in order.
type Action interface{ action() }

// Actions of a process that starts.
type (
	// TryLock tries to take the lock without waiting, and reads the recorded generation; answered by LockResult.
	TryLock struct{}
	// ContactOwner connects to the owner and asks to become its successor; answered by ContactResult, and then by StateReceived,
	// Rejected or OwnerLost.
	ContactOwner struct{}
	// Listen opens a listener of this process's own, at the same address as any listener of another process.
	Listen struct{}
	// Prepare has the process prepare to own the address, from the state that the owner has sent or else without one; answered by
	// Ready. Shared is whether another process is alive and shares limits, such as that on memory, with this one.
	Prepare struct{ Shared bool }
	// RequestTransfer asks the owner for the address.
	RequestTransfer struct{}
	// Claim records a generation as this process's, unless the same or a higher one is recorded, in one atomic step; answered by
	// ClaimResult. Two processes that replace the same unresponsive owner must not own the address under one generation.
	Claim struct{ Generation uint64 }
	// BecomeOwner makes this process the owner of the address, and reachable for successors.
	BecomeOwner struct{ Generation uint64 }
	// AnnounceServing tells the previous owner that this process serves.
	AnnounceServing struct{}
)

// Actions of an owner.
type (
	// SendState sends this process's state to a successor: its generation, the drains and the restored servers.
	SendState struct{ To int }
	// Reject tells a process that no successor is accepted now (Busy), or none of its protocol version.
	Reject struct {
		To   int
		Busy bool
	}
	// Grant passes on the listener and the lock. This process keeps its copies of both.
	Grant struct{ To int }
	// Revoke tells the successor that the listener and the lock are taken back, and closes the connection.
	Revoke struct{ To int }
)

// Actions of any process.
type (
	// SetAccepting starts or stops accepting new connections.
	SetAccepting struct{ On bool }
	// BeginSharing begins the sharing of limits, such as that on memory, with another process that owns the address.
	BeginSharing struct{}
	// EndSharing ends the sharing of limits: no other process is left, and this one may use them in full.
	EndSharing struct{}
	// Stop has this process answer its open requests and end, because another process owns the address.
	Stop struct{ Reason string }
	// ScheduleTick schedules a Tick after this many ms. It replaces a Tick scheduled before.
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
func (BeginSharing) action()    {}
func (EndSharing) action()      {}
func (Stop) action()            {}
func (ScheduleTick) action()    {}
