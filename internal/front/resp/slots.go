package resp

import (
	"cmp"
	"maps"
	"net"
	"slices"

	"ravenwheel/internal/resp"
)

// admit gives a new connection a slot. With all slots taken it closes an idle connection for it: hundreds of clients may connect
// and say nothing, or stay after one request. Lingering connections have slots of their own, beyond which the longest lingering
// is evicted. ok is false if no slot could be freed.
func (f *Front) admit(nc net.Conn) (c *conn, ok bool) {
	c = &conn{Conn: nc, front: f, lastRead: f.clock.Now()}
	c.frames.MaxFrameSize, c.frames.MaxRetained = resp.MaxRequestSize, maxIdleInBytes
	defer f.closeEvicted()
	f.mu.Lock()
	defer f.mu.Unlock()
	maxConns := int(f.maxConns.Load())
	if len(f.conns)-len(f.lingering) >= maxConns && !f.lingerLowestRanked() {
		return nil, false
	}
	if len(f.lingering) > 0 && len(f.conns) > maxConns+maxConns/lingeringDivisor {
		f.evict(f.lingering[0])
	}
	f.conns[c] = struct{}{}
	return c, true
}

// closingRank orders the connections that may be closed for a new one: the lowest is closed first.
type closingRank int

const (
	rankSilent closingRank = iota // accepted a while ago and without any frame
	rankIdle                      // between two requests
	rankNew                       // accepted just now: its first request may be on the way
)

// lingerLowestRanked ends the connection of the lowest rank that has been silent for longest. A connection whose client waits for an
// answer, or whose request is not read yet, is never ended. found is false if there is no other. Called under the front's lock.
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
			f.lingerUnanswered(c)
			return true
		}
	}
	return false
}

// lingerUnanswered ends a connection for want of a request or of a slot, and counts it if it had no answer. Called under the
// front's lock.
func (f *Front) lingerUnanswered(c *conn) {
	if !c.hasFrame {
		f.handler.CountUnansweredConn()
	}
	f.linger(c)
}

// linger closes our side of a connection, reads and drops what the client still sends, and closes the rest once the client has
// closed its side. Closing over unread bytes would reset the connection: a slow reader would lose what it has not read, and a
// request that crosses the close would look lost. Called under the front's lock.
func (f *Front) linger(c *conn) {
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

// evict frees a connection's slot, and has its socket closed by closeEvicted. Called under the front's lock.
func (f *Front) evict(c *conn) {
	if c.release() {
		f.evicted = append(f.evicted, c)
	}
}

// closeEvicted closes the sockets of evicted connections. Whoever may have evicted some calls it as soon as the front's lock is
// free: a connection must not be accepted before the descriptor of the one that it replaces is freed, or a crowd would take more
// descriptors than there are.
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

// awaitEvictedClosed returns once no evicted connection has a descriptor. On a busy machine the goroutine that closes one may be
// held up.
func (f *Front) awaitEvictedClosed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.openEvicted > 0 {
		f.socketClosed.Wait()
	}
}
