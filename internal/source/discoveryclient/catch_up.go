package discoveryclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// Bounds of CatchUp. Applying a frame takes some hundred microseconds; waiting longer would hold up requests for a
// service that writes without end.
const (
	catchUpPause = time.Millisecond
	catchUpTries = 50
)

// CatchUp waits until the frames that have already arrived are applied, and reports whether there were any: what was
// decided before may be out of date. It returns at once if the last frame is no older than Settings.GracePeriod, as nothing
// published after it is in force yet, and after catchUpTries pauses at the latest. It protects a process that was
// stopped and resumed from deciding requests before it has read the purges of the meantime.
func (c *Client) CatchUp() (behind bool) {
	if c.Clock.Now()-float64(c.appliedAt.Load()) < c.Settings.GracePeriod {
		return false
	}
	for range catchUpTries {
		if !c.hasUnapplied() {
			return behind
		}
		behind = true
		time.Sleep(catchUpPause)
	}
	return behind
}

// hasUnapplied reports whether something has arrived that is not applied yet. A part of a frame that was read does not
// count: the rest may never come.
func (c *Client) hasUnapplied() bool {
	open := c.openCalls.Load()
	if open == nil {
		return false
	}
	for _, x := range *open {
		x.mu.Lock()
		conn, pending := x.conn, x.pending
		x.mu.Unlock()
		if pending || conn != nil && unreadBytes(conn) > 0 {
			return true
		}
	}
	return false
}

// unreadBytes returns how many bytes wait in the socket's receive buffer; 0 if there is no socket, or it is closed.
func unreadBytes(conn net.Conn) (n int) {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return 0
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.TIOCINQ) })
	return n
}
