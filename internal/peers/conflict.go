package peers

import "github.com/hashicorp/memberlist"

// NotifyConflict: two processes have one name. Whoever hears of both says so, and tells the one that is known, which else
// would hear nothing of it: nobody sends it word of its own name.
func (e events) NotifyConflict(existing, other *memberlist.Node) {
	if !e.p.twice(existing.Name, existing.Address(), other.Address()) {
		return
	}
	if existing.Name != e.p.opt.Name {
		_ = e.p.net.send(existing.FullAddress(), kindTwice, []byte(other.Address()))
	}
	// The second by its address alone: its name leads to the first.
	_ = e.p.net.send(memberlist.Address{Addr: other.Address()}, kindTwice, []byte(existing.Address()))
}

// Two of a name are told of every twiceEvery ms, and each asks again for doubtFor ms: longer than it takes to give up the one
// that is gone, and deadFor.
const twiceEvery, doubtFor = 2000.0, 30_000.0

// mostAddr is the longest address that another may put into the log.
const mostAddr = 64

// twice tells of two processes with one name, and whether it is time to: each gossip brings it again.
func (p *Peers) twice(name, addr, other string) bool {
	now := p.opt.Clock.Now()
	p.mu.Lock()
	last, told := p.twiceAt[name]
	if len(p.twiceAt) >= mostGone {
		clear(p.twiceAt)
	}
	due := !told || now-last >= twiceEvery
	if due {
		p.twiceAt[name] = now
	}
	p.mu.Unlock()
	if !due {
		return false
	}
	p.opt.Log.Error("peers").Str("name", name).Str("addr", addr).Str("other", other[:min(len(other), mostAddr)]).
		Msg("two processes have one name: the second is not taken in")
	return true
}
