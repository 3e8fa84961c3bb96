package discoveryclient

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// catchUpPause, catchUpTries: how long a decision waits for what discovery has written to be in force. It takes some hundred
// microseconds; longer would hold up requests for a board that writes without end.
const catchUpPause, catchUpTries = time.Millisecond, 50

// CatchUp waits until what discovery has written is in force, and tells whether there was something: what was decided before may be
// out of date. It returns at once while a frame is no older than the grace, as nothing that was written after it binds yet.
// Guards against a process that was stopped and is woken, and reads its clients' requests before the purges that came meanwhile.
func (c *Client) CatchUp() (behind bool) {
	if c.Clock.Now()-float64(c.current.Load()) < c.Settings.GracePeriod {
		return false
	}
	for range catchUpTries {
		if !c.unread() {
			return behind
		}
		behind = true
		time.Sleep(catchUpPause)
	}
	return behind
}

// unread tells whether discovery has written something that is not in force yet. Half a frame that was read is no such thing: the
// rest of it may never come.
func (c *Client) unread() bool {
	open := c.open.Load()
	if open == nil {
		return false
	}
	for _, x := range *open {
		x.mu.Lock()
		nc, whole := x.nc, x.whole
		x.mu.Unlock()
		if whole || nc != nil && waiting(nc) > 0 {
			return true
		}
	}
	return false
}

// waiting is how many bytes have come that nobody has read; 0 also where the connection has no socket, or is closed.
func waiting(nc net.Conn) (n int) {
	sc, ok := nc.(syscall.Conn)
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
