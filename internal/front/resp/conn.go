package resp

import (
	"io"
	"net"
	"slices"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/resp"
)

// conn is a client's connection. It reads complete frames only: redcon's own reader panics on a bulk length near the largest
// integer, spins on a large count and grows without bound. Such bytes end the connection before redcon sees them.
type conn struct {
	net.Conn
	front      *Front
	frames     resp.Buffer
	unconsumed []byte // of the last frame, not yet read by redcon

	// Under the front's lock.
	client       *client // nil: redcon has not passed the first frame on
	stage        stage
	readDone     bool    // reading has ended
	hasFrame     bool    // a complete frame has arrived
	partialFrame bool    // a part of the next one has arrived
	lastRead     float64 // when it was accepted, or when bytes arrived last, in ms of the clock
}

// stage is the state of a connection. It only rises.
type stage int

const (
	stageServing   stage = iota
	stageLingering       // our side is closed, or about to be: what arrives is read and dropped until the client closes
	stageClosed          // it holds no slot
)

// Close is called by redcon, which holds a connection until its first frame is complete and closes what it holds as the listener
// ends. A connection of which the first frame has just arrived, or may be on its way, is left open: the request is answered, and
// the drain plan or the sweep closes the connection.
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

// release frees the connection's slot. released is false if it held none. Called under the front's lock.
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

// Read returns bytes of complete frames. Once the connection is to end, it reads and drops the rest and returns net.ErrClosed.
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

// finishReading ends reading. A lingering connection is read to its end first: closing over unread bytes would reset it.
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

// readerOnly hides a connection's other methods from io.Copy, which would use splice: the platform may forbid that call.
type readerOnly struct{ io.Reader }

// frameSource is what a connection's frames are read from. Before it waits for more bytes it notes a partial frame, and starts
// the requests that were read.
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

// recordRead notes that a part of a frame has arrived, or a complete one. serving is false once the connection is to end: a request
// that is read then must not be started.
func (c *conn) recordRead(partial bool) (serving bool) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.lastRead = c.front.clock.Now() // some clients write slowly: a frame of which bytes arrive is not silence
	if c.stage != stageServing {
		return false
	}
	c.partialFrame = partial
	c.hasFrame = c.hasFrame || !partial
	return true
}

// readTimedOut reports whether the client has been silent for too long where it has to send: at first, and within a frame. Called
// under the front's lock.
func (c *conn) readTimedOut(now float64) bool {
	if c.partialFrame {
		return now-c.lastRead >= partialFrameTimeout
	}
	return !c.hasFrame && now-c.lastRead >= firstFrameTimeout
}

// isNew reports whether the connection was accepted just now and its first request may be on the way. Called under the front's
// lock.
func (c *conn) isNew(now float64) bool { return !c.hasFrame && now-c.lastRead < newConnGrace }

// beginLinger decides to end the connection, unless its client waits for an answer. Deciding and refusing later requests is one
// step: a request that arrived between would be forwarded, and its answer lost. Called under the front's lock.
func (c *conn) beginLinger() (lingering bool) {
	redconIsDone := c.client != nil || !c.hasFrame
	if c.stage != stageServing || !redconIsDone {
		return false
	}
	if c.client != nil && !c.client.closeIfIdle() {
		return false
	}
	c.stage = stageLingering
	return true
}

// closeIfIdle closes a client that has no open request and no answer to write.
func (cl *client) closeIfIdle() (closed bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if len(cl.cancels) > 0 || len(cl.out) > 0 {
		return false
	}
	cl.closed = true
	return true
}

// drainState is what the drain plan decides by. Called under the front's lock.
func (c *conn) drainState(now float64) drain.Conn {
	state := drain.Conn{PartialFrame: c.partialFrame, New: c.isNew(now), Unread: c.hasUnreadBytes()}
	if c.client != nil {
		c.client.mu.Lock()
		state.Pending = len(c.client.cancels) + len(c.client.out)
		c.client.mu.Unlock()
	}
	return state
}
