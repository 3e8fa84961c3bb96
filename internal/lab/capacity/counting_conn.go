package capacity

import (
	"net"
	"sync/atomic"
)

// countingConn counts the bytes read and written on a connection. A nil counter counts nothing.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if c.read != nil {
		c.read.Add(int64(n))
	}
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	if c.written != nil {
		c.written.Add(int64(n))
	}
	return n, err
}
