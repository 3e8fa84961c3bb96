package upstream

import (
	"cmp"
	"net"
	"syscall"
	"time"
)

const (
	// defaultRequestLifetime, in ms, applies if Limits has no RequestLifetime. It is longer than the longest usual deadline.
	defaultRequestLifetime = 20_000
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
	RequestLifetime float64 // time during which attempts with the same request id may follow one another; 0: 20 s
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
	l.RequestLifetime = cmp.Or(l.RequestLifetime, defaultRequestLifetime)
	return l
}
