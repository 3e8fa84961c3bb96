package resp

import (
	"io"
	"net"
	"slices"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/resp"
)

// conn is a client's connection. It passes only complete, valid frames to redcon: redcon's own reader panics on a bulk length near
// the largest integer, loops for a very long time on a large count, and lets its buffer grow without bound. Any other bytes end the
// connection before redcon reads them.
type conn struct {
	net.Conn
	front      *Front
	frames     resp.Buffer
	unconsumed []byte // the part of the last frame that redcon has not read yet

	// Guarded by the front's lock.
	client       *client // nil until redcon has passed on the first frame
	stage        stage
	readDone     bool    // nothing more will be read
	hasFrame     bool    // at least one complete frame has arrived
	partialFrame bool    // a part of the next frame has arrived
	lastRead     float64 // when bytes arrived last, or else when it was accepted, in ms of the clock
}

// stage is the state of a connection. It never decreases.
type stage int

const (
	stageServing   stage = iota
	stageLingering       // our side is closed or about to be; input is read and dropped until the client closes its side
	stageClosed          // the connection holds no slot
)

// Close is called by redcon, which holds each connection until its first frame is complete. redcon closes a connection when reading
// fails, and closes all that it holds when the listener is closed. A connection whose first frame has just arrived, or may be on
// its way, stays open: its request is answered first, and the drain plan or the sweep closes the connection later.
func (c *conn) Close() error {
	defer c.front.closeEvicted()
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	switch {
	case c.hasFrame: // the drain plan closes it once the request is answered
	case c.readDone:
		go c.abort()
	case c.isNew(c.front.clock.Now()) || c.hasUnreadBytes(): // the drain plan or the sweep closes it
	case c.beginLinger():
		c.front.lingerUnanswered(c)
	}
	return nil
}

// abort closes the connection at once.
func (c *conn) abort() {
	defer c.front.closeEvicted()
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.front.evict(c)
}

// release frees the connection's slot. released is false if it held none. Called with the front's lock held.
func (c *conn) release() (released bool) {
	if c.stage == stageClosed {
		return false
	}
	c.stage = stageClosed
	c.front.openEvicted++
	delete(c.front.conns, c)
	c.front.lingering = slices.DeleteFunc(c.front.lingering, func(other *conn) bool { return other == c })
	return true
}

// Read returns bytes of complete frames. Once the connection is to end, Read drops the rest of the input and returns net.ErrClosed.
func (c *conn) Read(p []byte) (n int, err error) {
	if len(c.unconsumed) == 0 {
		if _, c.unconsumed, err = c.frames.Next(frameSource{c}); err == nil && !c.recordRead(false) {
			err = net.ErrClosed
		}
	}
	if err != nil {
		c.finishReading()
		return 0, err
	}
	n = copy(p, c.unconsumed)
	c.unconsumed = c.unconsumed[n:]
	return n, nil
}

// finishReading ends reading. On a lingering connection it first reads the rest of the input, because closing a socket with unread
// bytes resets the connection.
func (c *conn) finishReading() {
	c.front.mu.Lock()
	lingering := c.stage == stageLingering
	c.front.mu.Unlock()
	if lingering {
		_, _ = io.Copy(io.Discard, readerOnly{c.Conn})
	}
	c.front.mu.Lock()
	c.readDone = true
	c.front.mu.Unlock()
}

// readerOnly hides a connection's other methods from io.Copy, which would otherwise call splice: the platform may forbid that
// system call.
type readerOnly struct{ io.Reader }

// frameSource is the reader that a connection's frames are parsed from. Before it waits for more bytes, it records whether a part
// of a frame has arrived, and starts the requests that were read.
type frameSource struct{ conn *conn }

// Read implements io.Reader.
func (s frameSource) Read(p []byte) (int, error) {
	if s.conn.frames.Buffered() > 0 {
		s.conn.recordRead(true)
	}
	if cl := s.conn.client; cl != nil && len(cl.unstarted) > 0 && !s.conn.hasUnreadBytes() && !s.conn.peerClosed() {
		cl.startRequests()
	}
	return s.conn.Conn.Read(p)
}

// recordRead records that a complete frame has arrived, or only a part of one. serving is false once the connection is to end: a
// request that is read after that must not be started.
func (c *conn) recordRead(partial bool) (serving bool) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.lastRead = c.front.clock.Now() // also for a partial frame: some clients write slowly, and are not silent as long as bytes arrive
	if c.stage != stageServing {
		return false
	}
	c.partialFrame = partial
	c.hasFrame = c.hasFrame || !partial
	return true
}

// readTimedOut reports whether the client has sent nothing for too long while it has to send: before its first frame, or within a
// frame. Called with the front's lock held.
func (c *conn) readTimedOut(now float64) bool {
	if c.partialFrame {
		return now-c.lastRead >= partialFrameTimeout
	}
	return !c.hasFrame && now-c.lastRead >= firstFrameTimeout
}

// isNew reports whether no frame is complete and the connection was accepted, or bytes arrived, so recently that the first request
// may still be on the way. Called with the front's lock held.
func (c *conn) isNew(now float64) bool { return !c.hasFrame && now-c.lastRead < newConnGrace }

// beginLinger sets the connection to stageLingering, unless its client waits for an answer. Checking that and refusing later
// requests happen under the same locks: a request that arrived in between would be forwarded, and its answer lost. Called with the
// front's lock held.
func (c *conn) beginLinger() (lingering bool) {
	noFrameInRedcon := c.client != nil || !c.hasFrame
	if c.stage != stageServing || !noFrameInRedcon {
		return false
	}
	if c.client != nil && !c.client.closeIfIdle() {
		return false
	}
	c.stage = stageLingering
	return true
}

// closeIfIdle marks a client as closed if it has no open request and no answer to write.
func (cl *client) closeIfIdle() (closed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.cancels) > 0 || len(cl.output) > 0 {
		return false
	}
	cl.closed = true
	return true
}

// drainState returns the state that the drain plan decides by. Called with the front's lock held.
func (c *conn) drainState(now float64) drain.Conn {
	state := drain.Conn{PartialFrame: c.partialFrame, New: c.isNew(now), Unread: c.hasUnreadBytes()}
	if c.client != nil {
		c.client.mu.Lock()
		state.Pending = len(c.client.cancels) + len(c.client.output)
		c.client.mu.Unlock()
	}
	return state
}
