package peers

import "github.com/hashicorp/memberlist"

const (
	// conflictReportInterval is the shortest time between two reports of a conflict over one name, in ms.
	conflictReportInterval = 2000.0
	// nameConflictDuration is how long a process that was told of a conflict over its name goes on requesting the full state, in
	// ms. That is long enough for the others to count an earlier process of that name as failed, and for nameReclaimTime to pass.
	nameConflictDuration = 30_000.0
	// maxLoggedAddress is the longest address of another process that is logged, in bytes.
	maxLoggedAddress = 64
)

// NotifyConflict implements memberlist.ConflictDelegate: two processes use the same name. Each process that detects the conflict
// tells both of them. The one that is a member would not detect it itself, because no process is sent gossip about its own name.
func (e events) NotifyConflict(existing, other *memberlist.Node) {
	if !e.peers.reportNameConflict(existing.Name, existing.Address(), other.Address()) {
		return
	}
	if existing.Name != e.peers.options.Name {
		_ = e.peers.transport.send(existing.FullAddress(), kindNameConflict, []byte(other.Address()))
	}
	// The second process is addressed by its address alone, because the transport may resolve its name to the address of the first
	// one.
	_ = e.peers.transport.send(memberlist.Address{Addr: other.Address()}, kindNameConflict, []byte(existing.Address()))
}

// receiveNameConflict handles the report of another process that a process at otherAddress uses the name of this one.
func (p *Peers) receiveNameConflict(otherAddress string) {
	p.mu.Lock()
	p.nameConflictUntil = p.options.Clock.Now() + nameConflictDuration
	p.mu.Unlock()
	p.reportNameConflict(p.options.Name, p.address(), otherAddress)
}

// reportNameConflict logs that two processes use the same name. It returns false, and logs nothing, if that was reported within
// conflictReportInterval, because gossip repeats conflicts.
func (p *Peers) reportNameConflict(name, address, otherAddress string) bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	last, reported := p.conflictReportedAt[name]
	if len(p.conflictReportedAt) >= maxMembers {
		clear(p.conflictReportedAt)
	}
	due := !reported || now-last >= conflictReportInterval
	if due {
		p.conflictReportedAt[name] = now
	}
	p.mu.Unlock()
	if !due {
		return false
	}
	p.options.Log.Error("peers").Str("name", name).Str("addr", address).
		Str("other", otherAddress[:min(len(otherAddress), maxLoggedAddress)]).
		Msg("two processes have one name; the second is not a member while the first is alive: give one of them another name")
	return true
}
