package upstream

import (
	"errors"
	"net"
	"syscall"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

const (
	// maxResetRedials is how often a connection is dialled again that was reset while it was established.
	maxResetRedials = 2
	// maxLocalRedials is how often a connection is dialled again that failed for lack of a local resource, each time after
	// localRedialPause ms. Calls that wait for it are then skipped.
	maxLocalRedials, localRedialPause = 5, 10
)

// errNoSocket reports a connection from Limits.Dial that is not a syscall.Conn.
var errNoSocket = errors.New("upstream: connection without a socket")

// dial establishes the connection. A reset meanwhile does not count as a failure at once: somebody listens there.
func (cn *conn) dial() (nc net.Conn, err error) {
	for resets, local := 0, 0; ; {
		nc, err = cn.limits().Dial("tcp", cn.pool.addr, clock.Duration(cn.limits().ConnectTimeout))
		switch {
		case errors.Is(err, syscall.ECONNRESET) && resets < maxResetRedials:
			resets++
		case transient.IsTransient(err) && local < maxLocalRedials:
			local++
			paused := make(chan struct{})
			cn.pool.pools.clock.After(localRedialPause, func() { close(paused) })
			<-paused
		default:
			return nc, err
		}
	}
}

// dialFailure is the result for calls that waited for a connection, dialled at the given time in ms, that failed. The
// server is reachable, and the calls are skipped, if the failure is local, if it resets new connections while others are
// open, or if it answered over another one while this one timed out.
func (cn *conn) dialFailure(err error, dialledAt float64) policy.Result {
	var netErr net.Error
	timedOut := errors.As(err, &netErr) && netErr.Timeout()
	switch {
	case transient.IsTransient(err):
		return policy.Skipped
	case errors.Is(err, syscall.ECONNRESET) && cn.pool.hasOpenConn():
		return policy.Skipped
	case timedOut && cn.pool.answeredSince(dialledAt):
		return policy.Skipped
	}
	return policy.ConnectFailed
}

// rawSocket returns the socket of a connection, which it closes if it has none.
func rawSocket(nc net.Conn) (raw syscall.RawConn, err error) {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err = sc.SyscallConn(); err == nil {
			return raw, nil
		}
	}
	nc.Close()
	return nil, errors.Join(errNoSocket, err)
}
