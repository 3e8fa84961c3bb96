package peers

import "github.com/hashicorp/memberlist"

// NotifyConflict: two processes have one name. Whoever hears of both says so, and tells the one that is known, which else
// would hear nothing of it: nobody sends it word of its own name.
func (e events) NotifyConflict(existing, other *memberlist.Node) {
	if !e.p.reportNameConflict(existing.Name, existing.Address(), other.Address()) {
		return
	}
	if existing.Name != e.p.options.Name {
		_ = e.p.transport.send(existing.FullAddress(), kindNameConflict, []byte(other.Address()))
	}
	// The second by its address alone: its name leads to the first.
	_ = e.p.transport.send(memberlist.Address{Addr: other.Address()}, kindNameConflict, []byte(existing.Address()))
}

// Two of a name are told of every twiceEvery ms, and each asks again for doubtFor ms: longer than it takes to give up the one
// that is gone, and deadFor.
const conflictReportInterval, nameDoubtTime = 2000.0, 30_000.0

// mostAddr is the longest address that another may put into the log.
const maxLoggedAddress = 64

// twice tells of two processes with one name, and whether it is time to: each gossip brings it again.
func (p *Peers) reportNameConflict(name, addr, other string) bool {
	now := p.options.Clock.Now()
	p.mu.Lock()
	last, told := p.conflictReportedAt[name]
	if len(p.conflictReportedAt) >= maxMembers {
		clear(p.conflictReportedAt)
	}
	due := !told || now-last >= conflictReportInterval
	if due {
		p.conflictReportedAt[name] = now
	}
	p.mu.Unlock()
	if !due {
		return false
	}
	p.options.Log.Error("peers").Str("name", name).Str("addr", addr).Str("other", other[:min(len(other), maxLoggedAddress)]).
		Msg("two processes have one name: the second is not taken in")
	return true
}
