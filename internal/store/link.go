package store

import (
	"bufio"
	"net"
	"sync"
	"time"

	"ravenwheel/internal/transient"
)

// Link is a connection between two members of a cluster on which both send frames at any time. It uses the same certificates and
// frames as the calls between members of the store. At a time, one goroutine may send and one may receive.
type Link struct {
	Peer string // name in the other member's certificate

	conn      net.Conn
	reader    *bufio.Reader
	closeConn func()
	closeOnce sync.Once
}

// Send writes a frame. It fails if the frame can't be written within timeout, because the peer does not read; 0: no time-out.
func (l *Link) Send(frame []byte, timeout time.Duration) error {
	if err := l.conn.SetWriteDeadline(deadline(timeout)); err != nil {
		return err
	}
	return writeFrame(l.conn, frame)
}

// Receive reads a frame of at most maxSize bytes. It fails with ErrFrameTooLarge for a larger one, and if the frame is not
// complete within timeout; 0: no time-out.
func (l *Link) Receive(maxSize int, timeout time.Duration) ([]byte, error) {
	if err := l.conn.SetReadDeadline(deadline(timeout)); err != nil {
		return nil, err
	}
	return readFrame(l.reader, maxSize)
}

// Close closes the connection. A Send or Receive in progress fails.
func (l *Link) Close() { l.closeOnce.Do(l.closeConn) }

// deadline returns the time at which a time-out is over, by the machine's clock, which sockets use. For a time-out of 0 it returns
// the zero time, which is no deadline.
func deadline(timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// LinkListener accepts links of other members of the cluster at an address.
type LinkListener struct{ transport *transport }

// ListenLinks accepts links at a listener, up to maxLinks at once. It calls handle for each link in its own goroutine, and closes
// the link when handle returns.
func ListenLinks(id *Identity, ln net.Listener, maxLinks int, handle func(*Link)) *LinkListener {
	t := newTransport(transient.KeepAccepting(ln), id, maxLinks, nil)
	t.handleLink = handle
	go t.run()
	return &LinkListener{t}
}

// Addr returns the listener's address.
func (l *LinkListener) Addr() net.Addr { return l.transport.Addr() }

// Close closes the listener and all its links, and waits until the handlers have returned.
func (l *LinkListener) Close() error {
	err := l.transport.Close()
	l.transport.handlers.Wait()
	return err
}

// DialLink opens a link to a member. timeout applies to the connection and, again, to the TLS handshake. A nil dial means TCP.
// DialLink returns the error of the dial or of TLS, which includes ErrNotMember.
func DialLink(id *Identity, addr string, timeout time.Duration, dial DialFunc) (*Link, error) {
	if dial == nil {
		dial = dialTCP
	}
	t := &transport{identity: id, dial: dial}
	conn, err := t.connect(addr, connLink, timeout)
	if err != nil {
		return nil, err
	}
	peer, err := id.verifyConnection(conn.ConnectionState())
	if err != nil {
		conn.Close()
		return nil, err
	}
	return &Link{Peer: peer, conn: conn, reader: bufio.NewReader(conn), closeConn: func() { conn.Close() }}, nil
}
