package store

import (
	"bufio"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/memory"
)

const (
	// handshakeTimeout is how long an accepted connection may take for the TLS handshake and its first byte, which is its kind.
	handshakeTimeout = 5 * time.Second
	// maxConns is how many connections a store's address accepts at once.
	maxConns = 256
	// redialInterval is the pause between two attempts to reach an awaited member.
	redialInterval = 100 * time.Millisecond
	// callIdleTimeout is how long a connection for calls may be idle before it is closed.
	callIdleTimeout = time.Minute
)

// transport accepts connections of other members at this member's address, and connects to theirs. It implements raft.StreamLayer.
type transport struct {
	listener   net.Listener
	identity   *Identity
	dial       DialFunc
	handleCall func(peer string, q request) reply
	handleLink func(*Link)   // if set, the address accepts links only, and neither calls nor raft's streams
	raftConns  chan net.Conn // raft's streams, until Accept returns them
	maxConns   int
	memory     *memory.Account // for calls; nil: not limited
	// raftStreams are raft's streams that were accepted.
	raftStreams *raftStreams
	done        chan struct{} // closed by Close
	// memberAt returns which member raft takes to be at an address. It holds nil until raft runs.
	memberAt atomic.Pointer[func(addr string) expectedMember]

	mu       sync.Mutex
	conns    map[net.Conn]struct{}
	closed   bool
	handlers sync.WaitGroup // goroutines that handle connections
}

const (
	// connBytes is the cost of a connection in bytes: its TLS state, its buffers and its goroutine.
	connBytes = 64 << 10
	// callCopies is how often the bytes of a call are held: encoded and decoded.
	callCopies = 2
)

// newTransport returns a transport whose calls and streams draw on an account; nil: they are not limited.
func newTransport(listener net.Listener, id *Identity, maxConns int, account *memory.Account) *transport {
	return &transport{
		listener: listener, identity: id, maxConns: maxConns, raftConns: make(chan net.Conn), done: make(chan struct{}),
		memory: account, raftStreams: newRaftStreams(account, raftStreamIdle), conns: map[net.Conn]struct{}{},
	}
}

// run accepts connections until the transport is closed. It closes a connection at once if there are maxConns others.
func (t *transport) run() {
	for {
		conn, err := t.listener.Accept()
		if err != nil {
			return
		}
		t.mu.Lock()
		if t.closed || len(t.conns) >= t.maxConns {
			t.mu.Unlock()
			conn.Close()
			continue
		}
		t.conns[conn] = struct{}{}
		t.handlers.Add(1)
		t.mu.Unlock()
		go func() {
			defer t.handlers.Done()
			t.handle(conn)
		}()
	}
}

// drop closes an accepted connection and removes it from conns.
func (t *transport) drop(conn net.Conn) {
	conn.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, conn)
}

// handle serves an accepted connection. It closes a connection whose peer has no certificate of the cluster.
func (t *transport) handle(raw net.Conn) {
	conn, peer, kind, err := t.accept(raw)
	switch {
	case err != nil:
		t.drop(raw)
	case t.handleLink != nil:
		if kind == connLink {
			t.handleLink(&Link{Peer: peer, conn: conn, reader: bufio.NewReader(conn), closeConn: func() { raw.Close() }})
		}
		t.drop(raw)
	case kind == connRaft:
		t.passToRaft(raw, conn)
	case kind == connCalls:
		t.serveCalls(raw, conn, peer)
		t.drop(raw)
	default:
		t.drop(raw)
	}
}

// accept completes the TLS handshake of an accepted connection, and returns the peer's name and the connection's kind.
func (t *transport) accept(raw net.Conn) (conn *tls.Conn, peer string, kind byte, err error) {
	_ = raw.SetDeadline(time.Now().Add(handshakeTimeout))
	conn = tls.Server(raw, t.identity.TLS())
	if err := conn.Handshake(); err != nil {
		return nil, "", 0, err
	}
	if peer, err = t.identity.verifyConnection(conn.ConnectionState()); err != nil {
		return nil, "", 0, err
	}
	var first [1]byte
	if _, err := io.ReadFull(conn, first[:]); err != nil {
		return nil, "", 0, err
	}
	_ = raw.SetDeadline(time.Time{})
	return conn, peer, first[0], nil
}

// serveCalls answers calls until the connection ends or is idle for too long.
func (t *transport) serveCalls(raw net.Conn, conn *tls.Conn, peer string) {
	in := bufio.NewReader(conn)
	for {
		_ = raw.SetDeadline(time.Now().Add(callIdleTimeout))
		if !t.serveCall(in, conn, peer) {
			return
		}
	}
}

// serveCall answers one call, and reports whether another one may follow. A call for which there is no memory is not read.
func (t *transport) serveCall(in io.Reader, conn *tls.Conn, peer string) (more bool) {
	size, err := readFrameSize(in, maxCallSize)
	if err != nil {
		return false
	}
	held, ok := t.memory.Reserve(memory.Services, int64(size)*callCopies)
	if !ok {
		return false
	}
	defer held.Release()
	var req request
	if err := readMessageOf(in, size, &req); err != nil {
		return false
	}
	return writeMessage(conn, t.handleCall(peer, req)) == nil
}

// passToRaft passes an accepted stream on to raft, which closes it. A stream for which there is no memory is closed at once.
func (t *transport) passToRaft(raw net.Conn, conn *tls.Conn) {
	stream, ok := t.raftStreams.admit(conn, func() { t.drop(raw) })
	if !ok {
		t.drop(raw)
		return
	}
	select {
	case t.raftConns <- stream:
	case <-t.done:
		_ = stream.Close()
	}
}

// connect opens a connection of a kind to a member. timeout applies to the dial and, again, to the TLS handshake.
func (t *transport) connect(addr string, kind byte, timeout time.Duration) (*tls.Conn, error) {
	raw, err := t.dial(addr, timeout)
	if err != nil {
		return nil, err
	}
	_ = raw.SetDeadline(time.Now().Add(timeout))
	conn := tls.Client(raw, t.identity.TLS())
	if err := conn.Handshake(); err != nil {
		raw.Close()
		return nil, err
	}
	if _, err := conn.Write([]byte{kind}); err != nil {
		raw.Close()
		return nil, err
	}
	_ = raw.SetDeadline(time.Time{})
	return conn, nil
}

// call makes a call to a member. sent reports whether the request may have reached it.
func (t *transport) call(addr string, req request, timeout time.Duration) (r reply, sent bool, err error) {
	conn, err := t.connect(addr, connCalls, timeout)
	if err != nil {
		return r, false, err
	}
	defer conn.Close()
	// Without a deadline, a call to a member that can't be reached any more would never return.
	_ = conn.SetDeadline(time.Now().Add(timeout))
	if err := writeMessage(conn, req); err != nil {
		return r, true, err
	}
	err = readMessage(conn, &r)
	return r, true, err
}

// expectedMember is what raft knows of a member at an address.
type expectedMember struct {
	name    string // empty: raft knows of none there
	awaited bool   // it is dialled until it can be reached
}

// errOtherMember means that another member has come up at a member's address. It must get neither entries nor votes in that one's
// name.
var errOtherMember = errors.New("store: another member is at the address")

// expectedAt returns the member that raft takes to be at an address.
func (t *transport) expectedAt(addr string) (expected expectedMember) {
	if memberAt := t.memberAt.Load(); memberAt != nil {
		expected = (*memberAt)(addr)
	}
	return expected
}

// connectToRaft opens a stream of raft to the member that raft takes to be at an address.
func (t *transport) connectToRaft(addr string, timeout time.Duration) (*tls.Conn, error) {
	conn, err := t.connect(addr, connRaft, timeout)
	if err != nil {
		return nil, err
	}
	peer, err := t.identity.verifyConnection(conn.ConnectionState())
	if expected := t.expectedAt(addr).name; err == nil && expected != "" && peer != expected {
		err = fmt.Errorf("%w: %s has %q, not %q", errOtherMember, addr, peer, expected)
	}
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	return conn, nil
}

// Accept implements raft.StreamLayer.
func (t *transport) Accept() (net.Conn, error) {
	select {
	case conn := <-t.raftConns:
		return conn, nil
	case <-t.done:
		return nil, net.ErrClosed
	}
}

// Dial implements raft.StreamLayer. While the member at the address is awaited, it does not fail but goes on dialling: after some
// failed calls to a member, raft's leader would not call it again for up to ten seconds, however soon the member is back.
func (t *transport) Dial(addr raft.ServerAddress, timeout time.Duration) (net.Conn, error) {
	for {
		conn, err := t.connectToRaft(string(addr), timeout)
		if err == nil {
			return conn, nil
		}
		if !t.expectedAt(string(addr)).awaited {
			return nil, err // an interface that holds a nil *tls.Conn would not be nil
		}
		select {
		case <-time.After(redialInterval):
		case <-t.done:
			return nil, err
		}
	}
}

// Addr implements raft.StreamLayer.
func (t *transport) Addr() net.Addr { return t.listener.Addr() }

// Close implements raft.StreamLayer. It closes the listener and all accepted connections.
func (t *transport) Close() error {
	t.mu.Lock()
	if t.closed {
		t.mu.Unlock()
		return nil
	}
	t.closed = true
	conns := t.conns
	t.conns = map[net.Conn]struct{}{}
	t.mu.Unlock()
	close(t.done)
	for conn := range conns {
		conn.Close()
	}
	return t.listener.Close()
}
