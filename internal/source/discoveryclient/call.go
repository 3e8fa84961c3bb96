package discoveryclient

import (
	"context"
	"encoding/binary"
	"io"
	"net"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/discovery"
	"ravenwheel/internal/memory"
)

// call is one connection to discovery, from its dial to its end.
type call struct {
	id     discovery.CallID
	addr   string
	began  float64 // ms
	clock  *clock.Clock
	cancel context.CancelFunc
	frames int // complete frames received; used by the loop only

	mu      sync.Mutex
	conn    net.Conn                // nil: not connected
	frame   discovery.FrameProgress // of the frame that is arriving
	pending bool                    // a complete frame has not been applied yet
}

// run dials, requests the events after the last one received, and sends each frame and the end of the call to the loop.
func (c *call) run(ctx context.Context, l *loop) {
	send := func(m message) {
		m.from = c
		select {
		case l.messages <- m:
		case <-ctx.Done():
			m.held.Release()
		}
	}
	dial := l.Dial
	if dial == nil {
		dial = dialTCP
	}
	conn, err := dial(ctx, c.addr)
	if err != nil {
		send(message{err: err})
		return
	}
	defer conn.Close()
	defer context.AfterFunc(ctx, func() { conn.Close() })()
	c.connected(conn)
	request := binary.BigEndian.AppendUint64(nil, l.receivedRevision.Load())
	if _, err := conn.Write(request); err != nil {
		send(message{err: err})
		return
	}
	in := meteredConn{conn, c}
	for ctx.Err() == nil {
		if !c.readFrame(in, l.Memory, send) {
			return
		}
	}
}

// readFrame reads one frame and passes it on, and reports whether another one may follow. Its memory is held until the loop has
// handled it.
func (c *call) readFrame(in io.Reader, account *memory.Account, send func(message)) (more bool) {
	held := account.Adopt(memory.Services, 0)
	e, kind, err := readFrame(in, c.setFrameSize, held)
	if err != nil {
		send(message{err: err, held: held})
		return false
	}
	c.frameComplete()
	send(message{event: e, kind: kind, held: held})
	return true
}

func dialTCP(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}

// meteredConn records how much of a call's frame has been read, and when.
type meteredConn struct {
	net.Conn
	call *call
}

// Read implements io.Reader.
func (m meteredConn) Read(b []byte) (int, error) {
	n, err := m.Conn.Read(b)
	m.call.bytesReceived(n)
	return n, err
}

func (c *call) connected(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
}

func (c *call) bytesReceived(n int) {
	now := c.clock.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.frame.Received == 0 {
		c.frame.FirstByteAt = now
	}
	c.frame.Received, c.frame.LastByteAt = c.frame.Received+n, now
}

// setFrameSize records the size, in bytes, of the frame that is arriving.
func (c *call) setFrameSize(size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame.Size = size
}

func (c *call) frameComplete() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.frame, c.pending = discovery.FrameProgress{}, true
}

// frameApplied records that the last complete frame has been applied.
func (c *call) frameApplied() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = false
}

func (c *call) progress() discovery.FrameProgress {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.frame
}

// endReason returns why a call ended that the client has not closed.
func (c *call) endReason() discovery.Reason {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.conn == nil {
		return discovery.ReasonDialFailed
	}
	return discovery.ReasonDisconnected
}
