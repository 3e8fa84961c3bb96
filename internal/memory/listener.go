package memory

import (
	"net"
	"sync"
)

// listener reserves the cost of each connection that it accepts.
type listener struct {
	net.Listener
	account   *Account
	connBytes int64
}

// conn is a connection whose cost is released when it is closed.
type conn struct {
	net.Conn
	release func()
}

// Listener returns a listener that reserves connBytes of Services for each connection until the connection is closed. Where there
// is no room, it closes a new connection unread.
func Listener(ln net.Listener, account *Account, connBytes int64) net.Listener {
	if account == nil {
		return ln
	}
	return listener{ln, account, connBytes}
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.account.TryReserve(Services, l.connBytes) {
			return &conn{accepted, sync.OnceFunc(func() { l.account.Release(Services, l.connBytes) })}, nil
		}
		_ = accepted.Close()
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.release()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, where the connection has one.
func (c *conn) CloseWrite() error {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return halfCloser.CloseWrite()
	}
	return c.Close()
}
