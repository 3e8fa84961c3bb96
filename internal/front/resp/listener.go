package resp

import (
	"errors"
	"net"
	"os"
	"syscall"

	"ravenwheel/internal/tcpinfo"
)

// accept returns the next connection that gets a slot. It returns an error only when the listener is closed. After any other error
// that repeats it waits: while no file descriptors are left, a loop that retried at once would use up the CPU core that open
// connections need to finish and free some. One that does not repeat must not hold up those that wait behind it.
func (f *Front) accept() (*conn, error) {
	for failed := false; ; {
		if resumed := f.acceptResumed(); resumed != nil {
			<-resumed
		}
		f.awaitEvictedClosed()
		nc, err := f.listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // interrupted by SetAccepting
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			if failed || errors.Is(err, syscall.EMFILE) {
				f.sleep(acceptRetryDelay)
			}
			failed = true
			continue
		}
		failed = false
		if c, ok := f.admitOrWait(nc); ok {
			c.queuedMs = tcpinfo.QueuedMs(nc)
			return c, nil
		}
		f.handler.CountUnansweredConn()
		nc.Close()
	}
}

// admitOrWait admits a connection, at once or when a slot becomes free within admitTimeout. It waits because for a moment every
// open connection may have an open or unread request, so that none may be closed. The kernel has already accepted the new
// connection, whose client may have sent a request as well. ok is false if no slot became free.
func (f *Front) admitOrWait(nc net.Conn) (c *conn, ok bool) {
	f.admitting.Store(true)
	defer f.admitting.Store(false)
	for end := f.clock.Now() + admitTimeout; ; f.sleep(acceptRetryDelay) {
		if c, ok = f.admit(nc); ok || f.clock.Now() >= end {
			return c, ok
		}
	}
}

// sleep waits for ms milliseconds of the front's clock.
func (f *Front) sleep(ms float64) {
	over := make(chan struct{})
	f.clock.After(ms, func() { close(over) })
	<-over
}
