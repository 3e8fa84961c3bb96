package discoveryclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// CatchUp checks catchUpTries times, catchUpPause apart. Applying a frame takes some hundred microseconds; waiting longer
// would delay requests for as long as the service goes on sending.
const (
	catchUpPause = time.Millisecond
	catchUpTries = 50
)

// CatchUp waits until the frames that have already arrived are applied, and reports whether there were any: if so, earlier
// decisions may be out of date. It returns at once if the last frame is younger than Settings.GracePeriod, as nothing that
// was published after it is in effect yet, and after catchUpTries pauses at the latest. Without it, a process that was stopped
// and resumed would decide on requests before it has read the purges that were published in the meantime.
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

// hasUnapplied reports whether data has arrived that is not applied yet. A partial frame that has been read does not count, as
// the rest of it may never arrive.
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

// unreadBytes returns the number of bytes in the socket's receive buffer; 0 if there is no socket, or it is closed.
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
