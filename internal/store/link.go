package store

import (
	"bufio"
	"net"
	"sync"
	"time"

	"ravenwheel/internal/transient"
)

// Link is a connection between two members of a cluster on which either sends frames at any time. It uses the certificates
// and the framing of the store's calls. One goroutine at a time may send, and one receive.
type Link struct {
	Peer string // name in the other member's certificate

	conn      net.Conn
	reader    *bufio.Reader
	closeConn func()
	closeOnce sync.Once
}

// Send writes a frame. It fails if the peer does not take it within timeout; 0: no time-out.
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

// deadline returns the time after a time-out by the machine's clock, which sockets use; none for 0.
func deadline(timeout time.Duration) time.Time {
	if timeout == 0 {
		return time.Time{}
	}
	return time.Now().Add(timeout)
}

// LinkListener is an address at which members of the cluster open links.
type LinkListener struct{ transport *transport }

// ListenLinks accepts up to maxLinks links at once. It calls handle for each, in a goroutine of its own, and closes the link
// when handle returns.
func ListenLinks(id *Identity, ln net.Listener, maxLinks int, handle func(*Link)) *LinkListener {
	t := newTransport(transient.KeepAccepting(ln), id, maxLinks)
	t.handleLink = handle
	go t.run()
	return &LinkListener{t}
}

// Addr returns the address it listens on.
func (l *LinkListener) Addr() net.Addr { return l.transport.Addr() }

// Close closes the address and all its links, and waits until the handlers have returned.
func (l *LinkListener) Close() error {
	err := l.transport.Close()
	l.transport.handlers.Wait()
	return err
}

// DialLink opens a link to a member, within timeout for each of its steps. dial is nil for TCP. It returns the error of the dial or
// of TLS, which includes ErrNotMember.
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
