package resp

import (
	"container/list"
	"context"
	"errors"
	"io"
	"net"
	"runtime"
	"slices"
	"sync"
	"sync/atomic"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
)

// connBytes is the fixed cost of a connection in bytes: its socket's state, and the stack of the goroutine that reads it.
const connBytes = 5 << 10

// chunks is what connections are read into. After each chunk other connections take their turn, so that the size is also the share
// of a client that sends much at once.
var chunks = resp.NewChunks(8 << 10)

// conn is a client's connection. One goroutine reads it and, while answers wait, another one writes them.
type conn struct {
	net.Conn
	front *Front

	framesMu   sync.Mutex // held while a chunk is handled, and while another connection takes over the memory of frames
	frames     resp.Assembler
	burstBytes int     // read since requests were started last, or since nothing was left to start
	queuedMs   float64 // how long the bytes that are not read yet waited in the listener's queue or for a slot
	cancelRest func()  // cancels the start of requests that wait for the rest of a frame; nil: none has waited

	handling atomic.Bool // bytes were read and are not handled yet, or are about to be read

	// Used by the reading goroutine only.
	source *resp.Source
	ctx    context.Context // done once the connection has ended; the parent of its requests' contexts

	// Guarded by the front's lock.
	client       *client // nil until the first frame
	stage        stage
	closeCounted bool          // the reason of its end is counted
	hasFrame     bool          // at least one complete frame has arrived
	partialFrame bool          // a part of the next frame has arrived
	lastRead     float64       // when bytes arrived last, or else when it was accepted, in ms of the clock
	inputBytes   int64         // reserved for the partial frame
	stored       *list.Element // in Front.storedPartials; nil: nothing is reserved
}

// stage is the state of a connection. It never decreases.
type stage int

const (
	stageServing   stage = iota
	stageLingering       // our side is closed or about to be; input is read and dropped until the client closes its side
	stageClosed          // the connection holds no slot
)

func (f *Front) newConn(nc net.Conn) *conn {
	c := &conn{Conn: nc, front: f, lastRead: f.clock.Now()}
	c.frames = resp.Assembler{MaxFrameSize: resp.MaxRequestSize, Buffers: &f.inputBuffers, Reserve: c.reserveInput, Release: c.releaseInput}
	c.source = resp.NewSource(nc, chunks, c.handleChunk)
	return c
}

// abort closes the connection at once.
func (c *conn) abort() {
	defer c.front.closeEvicted()
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.front.evict(c)
}

// abortFor closes the connection at once, and counts the reason.
func (c *conn) abortFor(reason CloseReason) {
	c.front.mu.Lock()
	if c.stage != stageClosed && !c.closeCounted {
		c.front.closes.Add(reason)
		c.closeCounted = true
	}
	c.front.mu.Unlock()
	c.abort()
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
	c.front.memory.Release(memory.ClientConns, connBytes)
	return true
}

// serve reads the connection until it ends, which cancels its open requests.
func (c *conn) serve() {
	ctx, cancelAll := context.WithCancel(context.Background())
	c.ctx = ctx
	reason := c.readFrames()
	cancelAll()
	c.dropFrames()
	c.drainInput()
	if cl := c.client; cl != nil {
		cl.close()
	}
	c.abortFor(reason)
}

// dropFrames drops the partial frame, and ends the requests that are not started: their context is cancelled, so each ends as a
// request whose client has left.
func (c *conn) dropFrames() {
	c.framesMu.Lock()
	defer c.framesMu.Unlock()
	c.frames.Drop()
	if cl := c.client; cl != nil {
		cl.startRequests()
	}
	if c.cancelRest != nil {
		c.cancelRest()
	}
}

// readFrames reads frames and carries out their commands until the connection ends.
func (c *conn) readFrames() CloseReason {
	for {
		if err := c.readTurn(); err != nil {
			return closeReasonOf(err)
		}
	}
}

// readTurn reads and handles one chunk. Only a few of the connections whose clients send more than a chunk at a time are read at
// once, in turn, so that a crowd of them does not delay the others.
func (c *conn) readTurn() error {
	ready := c.source.Await()
	if !c.source.IsBehind() {
		return c.readChunk(ready)
	}
	c.front.bulkReaders <- struct{}{}
	err := c.readChunk(ready)
	<-c.front.bulkReaders
	runtime.Gosched()
	return err
}

// readChunk reads and handles one chunk. Until it is handled, the connection is not ended for being idle: its bytes are no longer
// unread, and their request is not open yet.
func (c *conn) readChunk(ready bool) error {
	c.handling.Store(ready)
	defer c.handling.Store(false)
	return c.source.ReadChunk()
}

// handleChunk handles bytes that have arrived. An error ends the connection.
func (c *conn) handleChunk(chunk []byte) error {
	c.framesMu.Lock()
	defer c.framesMu.Unlock()
	c.burstBytes += len(chunk)
	for {
		frame, rest, ok, err := c.frames.Next(chunk)
		if err != nil {
			return err
		}
		if !ok {
			break
		}
		cl := c.recordFrame()
		if cl == nil {
			return net.ErrClosed
		}
		if err := cl.handleCommand(c.ctx, frame); err != nil {
			return err
		}
		cl.refuseDelayed()
		chunk = rest
	}
	if !c.recordRead(c.frames.HasPartial()) {
		return net.ErrClosed
	}
	if c.queuedMs > 0 && !c.hasUnreadBytes() {
		c.queuedMs = 0
	}
	c.startRead()
	return nil
}

// startRead starts the requests that were read, if all input that has arrived is read. If a client closed its connection right after
// a request, that is known by then. A client that has sent more than a socket's buffer holds, and stopped within a frame, has more
// to send, and may have closed its connection behind that: its requests wait for the rest. Called with framesMu held.
func (c *conn) startRead() {
	partial := c.frames.HasPartial()
	if c.client == nil || len(c.client.unstarted) == 0 {
		if !partial {
			c.burstBytes = 0
		}
		return
	}
	if c.hasUnreadBytes() {
		return
	}
	if c.burstBytes <= socketBufferBytes || !partial {
		c.startUnlessClosed()
		return
	}
	if c.cancelRest != nil {
		c.cancelRest()
	}
	c.cancelRest = c.front.clock.After(restTimeout, c.startWithoutRest)
}

// startWithoutRest starts the requests that were read although the rest of the next one has not arrived.
func (c *conn) startWithoutRest() {
	c.framesMu.Lock()
	defer c.framesMu.Unlock()
	if !c.hasUnreadBytes() {
		c.startUnlessClosed()
	}
}

// startUnlessClosed starts the requests that were read, unless the client has closed its connection. Called with framesMu held.
func (c *conn) startUnlessClosed() {
	if c.peerClosed() {
		return
	}
	c.client.startRequests()
	c.burstBytes = 0
}

// recordFrame records that a complete frame has arrived. It returns nil once the connection is to end: a request that is read after
// that must not be started.
func (c *conn) recordFrame() *client {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.lastRead = c.front.clock.Now()
	if c.stage != stageServing {
		return nil
	}
	if c.client == nil {
		c.client = &client{front: c.front, conn: c}
	}
	c.hasFrame, c.partialFrame = true, false
	return c.client
}

// recordRead records that bytes have arrived, also those of a partial frame: some clients write slowly, and are not silent as long
// as bytes arrive. serving is false once the connection is to end.
func (c *conn) recordRead(partial bool) (serving bool) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.lastRead = c.front.clock.Now()
	if c.stage != stageServing {
		return false
	}
	c.partialFrame = partial
	return true
}

// drainInput reads and drops the rest of the input of a lingering connection, because closing a socket with unread bytes resets the
// connection.
func (c *conn) drainInput() {
	c.front.mu.Lock()
	lingering := c.stage == stageLingering
	c.front.mu.Unlock()
	for lingering {
		if err := c.source.Discard(); err != nil {
			return
		}
	}
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

// beginLinger sets the connection to stageLingering, unless its client waits for an answer. Whether bytes are unread must be checked
// before. Checking that and refusing later
// requests happen under the same locks: a request that arrived in between would be forwarded, and its answer lost. Called with the
// front's lock held.
func (c *conn) beginLinger() (lingering bool) {
	if c.stage != stageServing || c.handling.Load() || c.client != nil && !c.client.closeIfIdle() {
		return false
	}
	c.stage = stageLingering
	return true
}

// drainState returns the state that the drain plan decides by. Called with the front's lock held.
func (c *conn) drainState(now float64) drain.Conn {
	state := drain.Conn{PartialFrame: c.partialFrame, New: c.isNew(now), Unread: c.hasUnreadBytes()}
	if c.client != nil {
		state.Pending = c.client.countPending()
	}
	return state
}

// closeReasonOf returns the reason of a connection's end by the error that ended its reading.
func closeReasonOf(err error) CloseReason {
	switch {
	case errors.Is(err, io.EOF):
		return ClosedByClient
	case errors.Is(err, resp.ErrMalformed):
		return ClosedForMalformedFrame
	case errors.Is(err, errBadTag):
		return ClosedForBadTag
	}
	return ClosedByError
}
