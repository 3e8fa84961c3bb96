package resp

import (
	"cmp"
	"maps"
	"net"
	"slices"

	"ravenwheel/internal/memory"
)

// admit gives a new connection a slot. If all slots are taken, it closes an idle connection to free one: hundreds of clients may
// connect and send nothing, or stay connected after one request. Lingering connections have additional slots; if those are taken
// too, the connection that has lingered longest is evicted. ok is false if no slot could be freed.
func (f *Front) admit(nc net.Conn) (c *conn, ok bool) {
	defer f.closeEvicted()
	f.mu.Lock()
	defer f.mu.Unlock()
	maxConns := int(f.maxConns.Load())
	if len(f.conns)-len(f.lingering) >= maxConns && !f.lingerLowestRanked() {
		f.closes.Add(ClosedUnreadNoSlot)
		return nil, false
	}
	if len(f.lingering) > 0 && len(f.conns) > maxConns+maxConns/lingeringDivisor {
		f.evict(f.lingering[0])
	}
	if !f.reserveConn() {
		f.closes.Add(ClosedUnreadNoMemory)
		return nil, false
	}
	c = f.newConn(nc)
	f.conns[c] = struct{}{}
	return c, true
}

// reserveConn reserves the fixed cost of a connection. If there is no memory, it first closes a connection that lingers or is idle.
// Called with the front's lock held.
func (f *Front) reserveConn() bool {
	if f.memory.TryReserve(memory.ClientConns, connBytes) {
		return true
	}
	if len(f.lingering) == 0 && !f.lingerLowestRanked() {
		return false
	}
	f.evict(f.lingering[0])
	return f.memory.TryReserve(memory.ClientConns, connBytes)
}

// closingRank orders the connections that may be closed to free a slot: those of the lowest rank are closed first.
type closingRank int

const (
	rankSilent closingRank = iota // no complete frame has arrived, and no bytes for newConnGrace
	rankIdle                      // between two requests
	rankNew                       // accepted just now, or is still sending its first frame
)

// lingerLowestRanked ends the connection of the lowest rank that has been silent for longest. It never ends a connection whose
// client waits for an answer, or whose request is not read yet. found is false if there is no other. Called with the front's lock
// held.
func (f *Front) lingerLowestRanked() (found bool) {
	now := f.clock.Now()
	rank := func(c *conn) closingRank {
		switch {
		case c.hasFrame:
			return rankIdle
		case !c.isNew(now):
			return rankSilent
		}
		return rankNew
	}
	byRank := slices.SortedFunc(maps.Keys(f.conns), func(a, b *conn) int {
		return cmp.Or(cmp.Compare(rank(a), rank(b)), cmp.Compare(a.lastRead, b.lastRead))
	})
	for _, c := range byRank {
		if !c.hasUnreadBytes() && c.beginLinger() {
			f.lingerUnanswered(c, ClosedForSlot)
			return true
		}
	}
	return false
}

// lingerUnanswered ends a connection because it sent no request or because its slot is needed, and counts it if it had no answer.
// Called with the front's lock held.
func (f *Front) lingerUnanswered(c *conn, reason CloseReason) {
	if !c.hasFrame {
		f.handler.CountUnansweredConn()
	}
	f.linger(c, reason)
}

// linger closes our side of a connection, reads and drops what the client still sends, and closes the socket once the client has
// closed its side, at the latest after lingerTimeout. Closing a socket with unread bytes resets the connection: a slow reader would
// lose the bytes that it has not read, and a request that is sent during the close would seem to be lost. Called with the front's
// lock held.
func (f *Front) linger(c *conn, reason CloseReason) {
	f.closes.Add(reason)
	c.closeCounted = true
	f.lingering = append(f.lingering, c)
	go func() {
		halfCloser, ok := c.Conn.(interface{ CloseWrite() error })
		if ok && halfCloser.CloseWrite() == nil {
			f.clock.After(lingerTimeout, c.abort)
			return
		}
		c.abort()
	}()
}

// evict frees a connection's slot. closeEvicted closes its socket. Called with the front's lock held.
func (f *Front) evict(c *conn) {
	if c.release() {
		f.evicted = append(f.evicted, c)
	}
}

// closeEvicted closes the sockets of evicted connections. Each function that may evict one calls it as soon as the front's lock is
// released: the socket of an evicted connection must be closed before another connection is accepted in its place, or a burst of
// connections would need more file descriptors than there are.
func (f *Front) closeEvicted() {
	f.mu.Lock()
	evicted := f.evicted
	f.evicted = nil
	f.mu.Unlock()
	for _, c := range evicted {
		c.Conn.Close()
	}
	f.mu.Lock()
	f.openEvicted -= len(evicted)
	f.mu.Unlock()
	f.socketClosed.Broadcast()
}

// awaitEvictedClosed returns once the sockets of all evicted connections are closed. On a busy machine the goroutine that closes
// one may be delayed.
func (f *Front) awaitEvictedClosed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.openEvicted > 0 {
		f.socketClosed.Wait()
	}
}
