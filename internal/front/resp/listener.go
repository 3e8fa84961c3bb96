package resp

import (
	"errors"
	"net"
	"os"
)

// boundedListener accepts connections from the front's listener, but no more than the front may hold.
type boundedListener struct {
	net.Listener
	front *Front
}

// Accept returns the next connection that gets a slot, as a *conn. It returns an error only when the listener is closed. After any
// other error redcon would call Accept again at once: while no file descriptors are left, that loop would use up the CPU core that
// open connections need to finish and free some.
func (l boundedListener) Accept() (net.Conn, error) {
	for {
		if resumed := l.front.acceptResumed(); resumed != nil {
			<-resumed
		}
		l.front.awaitEvictedClosed()
		nc, err := l.Listener.Accept()
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded): // interrupted by SetAccepting
			continue
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case err != nil:
			l.front.sleep(acceptRetryDelay)
			continue
		}
		if c, ok := l.front.admitOrWait(nc); ok {
			return c, nil
		}
		l.front.handler.CountUnansweredConn()
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
