package resp

import (
	"errors"
	"net"
	"os"
)

// boundedListener accepts connections of the front's listener, and no more than the front may hold.
type boundedListener struct {
	net.Listener
	front *Front
}

// Accept returns the next connection that has a slot, as a *conn. Only the listener's end is an error: redcon would accept again
// at once after any other, and out of descriptors it would take the core that open connections need to end and free some.
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

// admitOrWait admits a connection, at once or when a slot becomes free before admitTimeout. For an instant each connection may
// have an open or unread request; the new one has been accepted by the system, and may have sent one too.
func (f *Front) admitOrWait(nc net.Conn) (c *conn, ok bool) {
	f.admitting.Store(true)
	defer f.admitting.Store(false)
	for end := f.clock.Now() + admitTimeout; ; f.sleep(acceptRetryDelay) {
		if c, ok = f.admit(nc); ok || f.clock.Now() >= end {
			return c, ok
		}
	}
}

// sleep waits for so many ms of the front's clock.
func (f *Front) sleep(ms float64) {
	over := make(chan struct{})
	f.clock.After(ms, func() { close(over) })
	<-over
}
