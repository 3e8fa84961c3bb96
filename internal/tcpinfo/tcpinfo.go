// Package tcpinfo asks the kernel for the state of TCP connections: what their input holds that was not read yet, and whether the
// other side has closed them. It decides nothing.
package tcpinfo

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnread reports whether the connection has received bytes that were not read yet.
func HasUnread(conn net.Conn) (unread bool) {
	withDescriptor(conn, func(descriptor int) {
		n, err := unix.IoctlGetInt(descriptor, unix.TIOCINQ)
		unread = err == nil && n > 0
	})
	return unread
}

// IsPeerClosed reports whether the other side has closed the connection, even if bytes that it sent before are not read yet.
func IsPeerClosed(conn net.Conn) (closed bool) {
	isOpen := withDescriptor(conn, func(descriptor int) {
		info, err := unix.GetsockoptTCPInfo(descriptor, unix.SOL_TCP, unix.TCP_INFO)
		closed = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE)
	})
	return !isOpen || closed
}

// UnreadMs returns for how many ms bytes have waited to be read, counted from the last that arrived; 0: there are none. The kernel
// counts in steps of up to 10 ms.
func UnreadMs(conn net.Conn) (ms float64) {
	if !HasUnread(conn) {
		return 0
	}
	withDescriptor(conn, func(descriptor int) {
		if info, err := unix.GetsockoptTCPInfo(descriptor, unix.SOL_TCP, unix.TCP_INFO); err == nil {
			ms = float64(info.Last_data_recv)
		}
	})
	return ms
}

// QueuedMs returns how long the bytes that have arrived waited until the connection was accepted, and 0 if that is too short to
// count. Called before the connection is read.
func QueuedMs(conn net.Conn) float64 {
	const leastMs = 50 // several of the kernel's steps
	if queued := UnreadMs(conn); queued >= leastMs {
		return queued
	}
	return 0
}

// withDescriptor calls f with the connection's file descriptor. isOpen is false if the socket is closed; f is not called then. A
// connection without a socket is open, and f is not called either.
func withDescriptor(conn net.Conn, f func(descriptor int)) (isOpen bool) {
	if wrapper, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = wrapper.NetConn()
	}
	syscallConn, ok := conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := syscallConn.SyscallConn()
	if err != nil {
		return false
	}
	return raw.Control(func(descriptor uintptr) { f(int(descriptor)) }) == nil
}
