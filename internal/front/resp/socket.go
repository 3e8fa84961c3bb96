package resp

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// hasUnreadBytes reports whether the socket holds bytes that were not read.
func (c *conn) hasUnreadBytes() (unread bool) {
	c.withSocket(func(fd int) {
		n, err := unix.IoctlGetInt(fd, unix.TIOCINQ)
		unread = err == nil && n > 0
	})
	return unread
}

// peerClosed reports whether the client has closed the connection, also where its end is behind bytes that were not read. No
// attempt begins for a client that has left.
func (c *conn) peerClosed() (closed bool) {
	isOpen := c.withSocket(func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.SOL_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
	})
	return !isOpen || closed
}

// withSocket calls f with the connection's socket. isOpen is false where the socket is closed, and f was not called.
func (c *conn) withSocket(f func(fd int)) (isOpen bool) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true // a test's connection without a socket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) }) == nil
}
