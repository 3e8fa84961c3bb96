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
	// maxResetRedials is how often a connection is dialled again if it is reset while it is being established.
	maxResetRedials = 2
	// maxLocalRedials is how often a connection is dialled again, each time after localRedialPause ms, if dialling fails for lack
	// of a local resource. After that the calls that wait for the connection are skipped.
	maxLocalRedials, localRedialPause = 5, 10
)

// errNoSocket reports that Limits.Dial has returned a connection that is not a syscall.Conn.
var errNoSocket = errors.New("upstream: connection does not implement syscall.Conn")

// dial establishes the connection. It dials again if the connection is reset meanwhile, since a reset shows that a process listens
// at the address, and after transient local failures.
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

// dialFailure returns the result of the calls that waited for a connection that could not be established. dialledAt is when
// dialling began, in ms of the clock. The calls are skipped if the failure does not show that the server is unreachable: if it is
// local, if the server resets new connections while others are open, or if it answered over another connection while dialling timed
// out.
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

// rawSocket returns the socket of a connection. If there is none, it closes the connection and returns an error.
func rawSocket(nc net.Conn) (raw syscall.RawConn, err error) {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err = sc.SyscallConn(); err == nil {
			return raw, nil
		}
	}
	nc.Close()
	return nil, errors.Join(errNoSocket, err)
}
