package resp

import (
	"errors"
	"io"
	"net"
	"os"
	"slices"
	"syscall"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/resp"
)

// guarded accepts connections whose reads are checked, and no more of them than the front may hold.
type guarded struct {
	net.Listener
	front *Front
}

func (g guarded) Accept() (net.Conn, error) {
	for {
		if halt := g.front.halt(); halt != nil {
			<-halt
		}
		g.front.awaitCloses()
		nc, err := g.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			// Guards against redcon, which asks again at once: out of descriptors it would take the whole core, and what is
			// open could not end and give some back.
			g.front.pause(acceptPause)
			continue
		}
		if err != nil {
			return nil, err
		}
		if held, ok := g.front.admitSoon(nc); ok {
			return held, nil
		}
		g.front.core.CountUnansweredConn()
		nc.Close()
	}
}

// admitSoon books a new connection as soon as there is a place for it. Guards against an instant in which each connection that
// is held waits for an answer or has a request unread: the one that comes has been accepted, and what it asks is owed.
func (f *Front) admitSoon(nc net.Conn) (held *guard, ok bool) {
	f.admitting.Store(true)
	defer f.admitting.Store(false)
	for end := f.clock.Now() + admitWithin; ; f.pause(acceptPause) {
		if held, ok = f.admit(nc); ok || f.clock.Now() >= end {
			return held, ok
		}
	}
}

// pause waits for so many ms.
func (f *Front) pause(ms float64) {
	over := make(chan struct{})
	f.clock.After(ms, func() { close(over) })
	<-over
}

// guard hands on whole frames only. It guards redcon's reader, which panics on a bulk length near the
// largest integer, spins on a large count and grows without bound: such bytes end the connection.
type guard struct {
	net.Conn
	front *Front
	buf   resp.Buffer
	rest  []byte

	// Under the front's lock.
	client *client // nil: it has not asked yet
	stage  stage
	read   bool    // reading has ended
	asked  bool    // a whole frame has come
	half   bool    // the next one has begun
	since  float64 // when it was accepted, or when a read of it came last
}

// stage is where a client's connection stands. It goes one way.
type stage int

const (
	serving stage = iota
	leaving       // our side is shut, or about to be: what comes is read to the end and dropped
	closed
)

// Close is redcon's, which has the connection until its first frame is whole. Once it serves at all it closes what it holds
// as it ends, and a connection whose first frame has just come may be among that: its request is lived and answered.
func (g *guard) Close() error {
	defer g.front.closeCut()
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	switch {
	case g.asked:
	case g.read:
		go g.shut()
	case g.fresh(g.front.clock.Now()) || g.unread(): // its first frame may be on the way: the plan or the sweep ends it
	case g.leave():
		g.front.dismiss(g)
	}
	return nil
}

// shut ends the connection at once.
func (g *guard) shut() {
	defer g.front.closeCut()
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	if g.forget() {
		g.front.cut = append(g.front.cut, g)
	}
}

// forget takes the connection out of the front's books: its place is free. It tells whether it was there. Called under the
// front's lock.
func (g *guard) forget() bool {
	if g.stage == closed {
		return false
	}
	g.stage = closed
	g.front.closing++
	delete(g.front.conns, g)
	g.front.leaving = slices.DeleteFunc(g.front.leaving, func(o *guard) bool { return o == g })
	return true
}

// Read hands on one whole frame after another, until the connection is to end: then it reads to the client's own end.
func (g *guard) Read(p []byte) (n int, err error) {
	if len(g.rest) == 0 {
		if _, g.rest, err = g.buf.Next(halves{g}); err == nil && !g.mark(false) {
			err = net.ErrClosed
		}
	}
	if err != nil {
		g.finish()
		return 0, err
	}
	n = copy(p, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// finish is the end of reading: of a connection that is left, nothing may stay unread.
func (g *guard) finish() {
	g.front.mu.Lock()
	dropping := g.stage == leaving
	g.front.mu.Unlock()
	if dropping {
		_, _ = io.Copy(io.Discard, onlyRead{g.Conn})
	}
	g.front.mu.Lock()
	g.read = true
	g.front.mu.Unlock()
}

// onlyRead hides what else a connection can do: to be read from by splice is refused on the larger fleet's platform.
type onlyRead struct{ io.Reader }

// halves reads for the guard's buffer. Whenever more is waited for it notes that half a frame has come, and has what was read
// begin.
type halves struct{ g *guard }

func (h halves) Read(p []byte) (int, error) {
	if h.g.buf.Buffered() > 0 {
		h.g.mark(true)
	}
	if c := h.g.client; c != nil && len(c.calls) > 0 && !h.g.unread() && !h.g.left() {
		c.begin()
	}
	return h.g.Conn.Read(p)
}

// mark notes that half a frame has come, or a whole one, which may no longer be lived once the connection
// is to end.
func (g *guard) mark(half bool) bool {
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	g.since = g.front.clock.Now() // some clients write slowly: a frame of which bytes come is no silence
	if g.stage != serving {
		return false // what comes now was not asked of a proxy that would answer it
	}
	g.half, g.asked = half, g.asked || !half
	return true
}

// silent tells whether its client has said nothing for too long, where it has to: at first, and in the middle of a frame.
func (g *guard) silent(now float64) bool {
	if g.half {
		return now-g.since >= halfFor
	}
	return !g.asked && now-g.since >= silentFor
}

// leave decides that a connection ends, unless its client is owed an answer. Guards against a request that
// comes between the decision and the close: an attempt would be sent for it, and its answer lost.
func (g *guard) leave() bool {
	if g.stage != serving || g.client == nil && g.asked { // its first frame is on the way to a client yet to be made
		return false
	}
	if g.client != nil {
		g.client.mu.Lock()
		defer g.client.mu.Unlock()
		if len(g.client.open) > 0 || len(g.client.out) > 0 {
			return false
		}
		g.client.closed = true
	}
	g.stage = leaving
	return true
}

// fresh tells whether it was accepted a moment ago and has not asked yet.
func (g *guard) fresh(now float64) bool { return !g.asked && now-g.since < newFor }

// facts are what the plan wants to know. Called under the front's lock.
func (g *guard) facts(now float64) drain.Conn {
	c := drain.Conn{PartialFrame: g.half, New: g.fresh(now), Unread: g.unread()}
	if g.client != nil {
		g.client.mu.Lock()
		c.Pending = len(g.client.open) + len(g.client.out)
		g.client.mu.Unlock()
	}
	return c
}

// unread tells whether bytes have come that nobody has read.
func (g *guard) unread() (some bool) {
	g.socket(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		some = err == nil && n > 0
	})
	return some
}

// left tells whether the client has ended the connection, though its end may be unread behind bytes or a reader that is held up.
// Guards against an attempt that begins for a client that has gone.
func (g *guard) left() (gone bool) {
	gone = !g.socket(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO)
		gone = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
	}) || gone
	return gone
}

// socket hands f the connection's socket; ok is false where it is closed.
func (g *guard) socket(f func(fd int)) (ok bool) {
	sc, ok := g.Conn.(syscall.Conn)
	if !ok {
		return true // none, as in tests
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
