package handover

import (
	"errors"

	decider "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// execute carries out an action. It returns the event that answers it, or nil. The caller holds mu.
func (c *Coordinator) execute(a decider.Action) decider.Event {
	switch a := a.(type) {
	case decider.TryLock:
		return decider.LockResult{Acquired: c.tryLock(), Generation: c.recordedGeneration()}
	case decider.ContactOwner:
		return decider.ContactResult{OK: c.connectToOwner()}
	case decider.Claim:
		return c.claim(a.Generation)
	case decider.Listen:
		c.listenOnce()
	case decider.Prepare:
		c.opt.SetShared(a.Shared)
		closeOnce(c.ownerStateKnown)
	case decider.RequestTransfer:
		sendOrClose(c.owner, message{Kind: kindTransferRequest})
	case decider.BecomeOwner:
		c.becomeOwner(a.Generation)
	case decider.AnnounceServing:
		sendOrClose(c.owner, message{Kind: kindServing})
	case decider.SetAccepting:
		c.opt.SetAccepting(a.On)
	case decider.BeginSharing:
		c.opt.SetShared(true)
	case decider.EndSharing:
		c.opt.SetShared(false)
	case decider.Stop:
		c.opt.Log.Warn("handover").Str("reason", a.Reason).Msg("stopping: this process no longer owns the address")
		c.opt.Stop(a.Reason)
	case decider.ScheduleTick:
		c.cancelTick()
		c.cancelTick = c.opt.Clock.After(a.After, func() { c.handle(decider.Tick{}) })
	default:
		c.executeForSuccessor(a)
	}
	return nil
}

// executeForSuccessor carries out an owner's action about a successor. The caller holds mu.
func (c *Coordinator) executeForSuccessor(a decider.Action) {
	switch a := a.(type) {
	case decider.SendState:
		c.opt.SetShared(true)
		sendOrClose(c.successors[a.To], c.stateMessage(), c.sharedDescriptors()...)
	case decider.Reject:
		sendOrClose(c.successors[a.To], message{Kind: kindRejected, Busy: a.Busy})
	case decider.Grant:
		c.opt.SetOwner(false)
		c.grant(c.successors[a.To])
	case decider.Revoke:
		sendOrClose(c.successors[a.To], message{Kind: kindRevoked})
		c.dropSuccessor(a.To)
	}
}

// claim records a generation as this process's. If the record can't be written, for example on a full disk, the process serves
// nevertheless.
func (c *Coordinator) claim(generation uint64) decider.ClaimResult {
	recorded, err := c.record.claim(generation)
	switch {
	case errors.Is(err, errFenced), errors.Is(err, errRecordLocked):
		return decider.ClaimResult{Generation: recorded}
	case err != nil:
		c.opt.Log.Error("handover").Err(err).Msg("owner's record can't be written; drains are lost unless a later write succeeds")
	}
	return decider.ClaimResult{OK: true, Generation: generation}
}

// becomeOwner makes this process reachable for successors, and lets WaitForOwnership return.
func (c *Coordinator) becomeOwner(generation uint64) {
	if err := c.openSocket(); err != nil {
		c.opt.Log.Error("handover").Err(err).Msg("socket can't be opened; no process can take over from this one until it opens")
	}
	closeOnce(c.owns)
	c.opt.SetOwner(true)
	c.opt.Log.Info("handover").Uint64("generation", generation).Msg("this process owns the address")
}

// listenOnce opens a listener at the clients' address, unless this process has one.
func (c *Coordinator) listenOnce() {
	if c.listener != nil {
		return
	}
	if err := c.listen(); err != nil {
		c.fail(err)
	}
}

// stateMessage returns the message with which an owner sends its state to a successor.
func (c *Coordinator) stateMessage() message {
	epoch, _ := c.opt.Clock.Epoch()
	return message{
		Kind: kindState, ProtocolVersion: decider.ProtocolVersion, Generation: c.machine.Generation(), Drained: formatIDs(c.record.drainedServers()),
		Restored: c.record.restoredNames(), Epoch: epoch,
	}
}

// sharedDescriptors returns the descriptor of the memory that a successor shares, or none. A successor of an earlier version closes
// it.
func (c *Coordinator) sharedDescriptors() (descriptors []int) {
	if c.opt.Shared == nil {
		return nil
	}
	if descriptor, ok := c.opt.Shared.Descriptor(); ok {
		descriptors = append(descriptors, descriptor)
	}
	return descriptors
}

// adoptShared adopts the memory that an owner shares, and returns the descriptors that are not used. An owner of an earlier version
// sends none.
func (c *Coordinator) adoptShared(descriptors []int) (unused []int) {
	if c.opt.Shared == nil || len(descriptors) == 0 {
		return descriptors
	}
	if err := c.opt.Shared.Adopt(descriptors[0]); err != nil {
		c.opt.Log.Warn("handover").Err(err).Msg("owner's shared memory can't be used; ids of requests that ran there are not known here")
		return descriptors
	}
	return descriptors[1:]
}

func formatIDs(ids []policy.ServerID) (names []string) {
	for _, id := range ids {
		names = append(names, serverlist.FormatID(id))
	}
	return names
}
