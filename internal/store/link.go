package store

import (
	"bufio"
	"net"
	"sync"
	"time"

	"ravenwheel/internal/transient"
)

// Link is a connection between two members of a cluster on which each sends frames as it has them: the certificates and the
// length of 4 bytes in front of each are those of the store's calls. One goroutine sends, one receives.
type Link struct {
	Peer string // the name in the other's certificate
	nc   net.Conn
	in   *bufio.Reader
	end  func()
	once sync.Once
}

// Send writes a frame, and gives it wait (0: without end) to be taken.
func (l *Link) Send(frame []byte, wait time.Duration) error {
	if err := l.nc.SetWriteDeadline(deadline(wait)); err != nil {
		return err
	}
	return writeBytes(l.nc, frame)
}

// Receive reads a frame of so many bytes at most, and gives it wait (0: without end) to come whole.
func (l *Link) Receive(most int, wait time.Duration) ([]byte, error) {
	if err := l.nc.SetReadDeadline(deadline(wait)); err != nil {
		return nil, err
	}
	return readBytes(l.in, most)
}

// Close ends the connection, and what is being sent or received on it.
func (l *Link) Close() { l.once.Do(l.end) }

func deadline(wait time.Duration) time.Time {
	if wait == 0 {
		return time.Time{}
	}
	return time.Now().Add(wait) // of the socket, which knows no settable clock
}

// Links is an address at which members of the cluster, and nobody else, open links.
type Links struct{ wire *wire }

// ListenLinks opens an address for so many links at once. Each has take called, in a goroutine of its own, and is closed
// when that returns.
func ListenLinks(id *Identity, ln net.Listener, most int, take func(*Link)) *Links {
	w := &wire{ln: transient.Listener(ln), id: id, most: most, links: take, done: make(chan struct{}), conns: map[net.Conn]struct{}{}}
	go w.run()
	return &Links{w}
}

// Addr is where it listens.
func (l *Links) Addr() net.Addr { return l.wire.Addr() }

// Close ends the address and all its links, and returns when each take has.
func (l *Links) Close() error {
	err := l.wire.Close()
	l.wire.greeting.Wait()
	return err
}

// DialLink opens a link. dial is nil for TCP.
func DialLink(id *Identity, addr string, wait time.Duration, dial func(string, time.Duration) (net.Conn, error)) (*Link, error) {
	w := &wire{id: id, dial: Options{Dial: dial}.dialer()}
	nc, err := w.connect(addr, forLinks, wait)
	if err != nil {
		return nil, err
	}
	peer, err := id.peer(nc.ConnectionState())
	if err != nil {
		nc.Close()
		return nil, err
	}
	return &Link{Peer: peer, nc: nc, in: bufio.NewReader(nc), end: func() { nc.Close() }}, nil
}
