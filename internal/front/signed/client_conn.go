package signed

import (
	"context"
	"net"

	"ravenwheel/internal/tcpinfo"
)

// clientConn is a client's connection, beside what the HTTP server knows of it.
type clientConn struct {
	conn net.Conn
	// queuedMs is how long the first request waited before the connection was accepted. Used by the goroutine that serves it.
	queuedMs float64
}

// clientConnKey is the key of a request's clientConn in its context.
type clientConnKey struct{}

// withClientConn is a http.Server.ConnContext.
func withClientConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, clientConnKey{}, &clientConn{conn: conn, queuedMs: tcpinfo.QueuedMs(conn)})
}

// clientConnOf returns the connection of a request; nil: it came over none, as in tests.
func clientConnOf(ctx context.Context) *clientConn {
	c, _ := ctx.Value(clientConnKey{}).(*clientConn)
	return c
}

// takeQueuedMs returns how long a request waited before its connection was accepted. It is 0 for all but the first.
func (c *clientConn) takeQueuedMs() (ms float64) {
	if c != nil {
		ms, c.queuedMs = c.queuedMs, 0
	}
	return ms
}

// isClosedByClient reports whether the client has closed the connection, also behind input that was not read yet.
func (c *clientConn) isClosedByClient() bool { return c != nil && tcpinfo.IsPeerClosed(c.conn) }
