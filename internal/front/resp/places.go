package resp

import (
	"cmp"
	"maps"
	"net"
	"slices"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/resp"
)

// empty ends the connections that the plan ends.
func (f *Front) empty() {
	p := f.plan.Load()
	if !p.Active {
		return
	}
	f.clock.After(emptyEvery, f.empty)
	now := f.clock.Now()
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	for g := range f.conns {
		f.rest(g, now, p)
	}
}

// rest ends a connection if the plan says so. Called under the front's lock.
func (f *Front) rest(g *guard, now float64, p *drain.Plan) {
	if g.stage == serving && p.ShouldClose(now, g.facts(now)) && g.leave() {
		f.end(g)
	}
}

// answered looks at a connection whose last answer was just written, once requests are refused. Guards against a client
// that asks again at once, for seconds: it is never found at rest between.
func (f *Front) answered(c *client) {
	p, now := f.plan.Load(), f.clock.Now()
	if p.AcceptsRequest(now) {
		return
	}
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest(c.nc, now, p)
}

// sweep ends the connections that have said nothing, or half of a frame, for too long, and those whose clients take
// nothing of what they are owed: their readers end the rest.
func (f *Front) sweep() {
	f.clock.After(sweepEvery, f.sweep)
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for g := range f.conns {
		switch {
		case g.client != nil && g.client.blocked(now):
			go g.shut()
		case g.silent(now) && !g.unread() && g.leave():
			f.dismiss(g)
		}
	}
}

// admit books a new connection. Guards against hundreds that say nothing, or asked once and stay: when all
// places are taken, one makes room, but never one that is owed an answer or has sent what nobody has read yet.
func (f *Front) admit(nc net.Conn) (*guard, bool) {
	g := &guard{Conn: nc, front: f, since: f.clock.Now()}
	g.buf.MaxFrameSize, g.buf.MaxRetained = resp.MaxRequestSize, keepIn
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	most := int(f.most.Load())
	if len(f.conns)-len(f.leaving) >= most && !f.shed() {
		return nil, false
	}
	if len(f.leaving) > 0 && len(f.conns) > most+most/leavingShare {
		f.cutOff(f.leaving[0]) // it has had the longest to end by itself
	}
	f.conns[g] = struct{}{}
	return g, true
}

// shed ends the connection that has been silent for longest, else the one idle for longest; last come those
// that are too new to have asked.
func (f *Front) shed() bool {
	rank := func(g *guard) int {
		switch {
		case g.asked:
			return 1
		case f.clock.Now()-g.since >= newFor:
			return 0
		}
		return 2
	}
	order := slices.SortedFunc(maps.Keys(f.conns), func(a, b *guard) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.since, b.since))
	})
	for _, g := range order {
		if !g.unread() && g.leave() {
			f.dismiss(g)
			return true
		}
	}
	return false
}

// dismiss ends a connection that was left for want of a request or of a place. Called under the front's lock.
func (f *Front) dismiss(g *guard) {
	if !g.asked {
		f.core.CountUnansweredConn()
	}
	f.end(g)
}

// end tells a client that its connection, which was left, ends: its own end is waited for while what it still sends is
// read and dropped. Guards against a close over unread bytes, which resets the connection: what a slow reader has not
// taken yet would be thrown away, and a request that crosses the close would look lost. Called under the front's lock.
func (f *Front) end(g *guard) {
	f.leaving = append(f.leaving, g)
	go func() {
		if half, ok := g.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			f.clock.After(lingerFor, g.shut)
			return
		}
		g.shut()
	}()
}

// cutOff ends a connection that leaves, for one that comes: nobody else takes its place, so that none is cut off where all
// leave at once, as the proxy is emptied. Called under the front's lock.
func (f *Front) cutOff(g *guard) {
	if g.forget() {
		f.cut = append(f.cut, g)
	}
}

// closeCut closes the sockets of connections that were cut off. Whoever may have cut some off calls it, once the front's lock
// is free again and before anything else. Guards against a crowd that comes faster than other goroutines run: the next
// connection is not accepted before the descriptor of the one that made room for it has been given back.
func (f *Front) closeCut() {
	f.mu.Lock()
	cut := f.cut
	f.cut = nil
	f.mu.Unlock()
	for _, g := range cut {
		g.Conn.Close()
	}
	f.mu.Lock()
	f.closing -= len(cut)
	f.mu.Unlock()
	f.closed.Broadcast()
}

// awaitCloses returns once no descriptor is held beyond the books. Guards against a goroutine that was to close a socket and is
// held back on a busy machine, while the connection that takes its place is accepted, and the next one.
func (f *Front) awaitCloses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.closing > 0 {
		f.closed.Wait()
	}
}
