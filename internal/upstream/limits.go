package upstream

import (
	"net"
	"syscall"
	"time"

	"ravenwheel/internal/memory"
)

const (
	// connBytes is the fixed cost of a connection in bytes: its socket's state, the stacks of its two goroutines and a small buffer.
	connBytes = 14 << 10
	// smallBufferBytes is the size of a connection's write buffer that connBytes includes.
	smallBufferBytes = 4 << 10
	// maxWriteBytes bounds the frames that are encoded at a time, if there are several.
	maxWriteBytes = 32 << 10
	// spreadThreshold is the number of attempts on each connection to a server at which another connection is opened, if there may
	// be more. It is low because an unreadable answer ends all attempts on its connection.
	spreadThreshold = 4
	// nonIdempotentConns is the number of a server's connections that are reserved for non-idempotent attempts.
	nonIdempotentConns = 2
	// closingConnsFactor times ConnsPerServer bounds all connections to a server, including those that accept no more calls and
	// wait for their last answers.
	closingConnsFactor = 2
	// idleCloseFraction times IdleTimeout is how long a connection may be idle before the proxy closes it. It is below 1 so that
	// the proxy closes the connection before the server does.
	idleCloseFraction = 0.5
	// idleTimerMargin, in ms, is added to the timer of an idle connection so that it fires after that time and not exactly at it.
	idleTimerMargin = 1
)

// Limits bound the connections and the attempts on them. Times are in ms.
type Limits struct {
	AttemptsPerConn int     // attempts in flight on one connection
	ConnsPerServer  int     // connections to one cache server
	MaxConns        int     // connections to all servers; 0: no bound
	ConnectTimeout  float64 // time within which a connection must be established
	IdleTimeout     float64 // time after which the server closes an idle connection; 0: never
	// Memory is the account on which connections and answers draw; nil: not limited.
	Memory *memory.Account
	// Dial opens a connection; nil: net.DialTimeout. The connection must be a syscall.Conn.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)
	// Write writes as many bytes to a socket as it accepts without blocking; nil: syscall.Write.
	Write func(fd int, b []byte) (int, error)
}

// withDefaults returns the limits with defaults for fields that are not set and with values that are too low raised.
func (l Limits) withDefaults() Limits {
	l.AttemptsPerConn, l.ConnsPerServer = max(1, l.AttemptsPerConn), max(nonIdempotentConns+1, l.ConnsPerServer)
	if l.Dial == nil {
		l.Dial = net.DialTimeout
	}
	if l.Write == nil {
		l.Write = syscall.Write
	}
	return l
}
