package upstream

import (
	"cmp"
	"net"
	"syscall"
	"time"
)

const (
	// defaultRequestLifetime, in ms, is above the longest usual deadline. It applies where Limits give none.
	defaultRequestLifetime = 20_000
	// spreadThreshold is the number of attempts on each connection to a server at which another connection is opened,
	// while there may be more. An unreadable answer ends everything on its connection, so it should be little.
	spreadThreshold = 4
	// nonIdempotentConns is the number of a server's connections that are reserved for non-idempotent attempts.
	nonIdempotentConns = 2
	// closingConnsFactor times ConnsPerServer is the number of a server's connections with those that accept no more calls
	// and wait for their last answers.
	closingConnsFactor = 2
	// idleCloseFraction of the time after which the server closes an idle connection, this side closes it.
	idleCloseFraction = 0.5
	// idleTimerMargin, in ms, makes the timer for an idle connection fire after that time and not at it.
	idleTimerMargin = 1
)

// Limits bound the connections. Times are in ms.
type Limits struct {
	AttemptsPerConn int     // attempts in flight on one connection
	ConnsPerServer  int     // connections to one cache server
	MaxConns        int     // connections to all servers; 0: no bound
	ConnectTimeout  float64 // until a connection must be established
	IdleTimeout     float64 // after which the server closes an idle connection; 0: never
	RequestLifetime float64 // time for which attempts with the same request id may follow one another; 0: 20 s
	// Dial opens a connection; nil: net.DialTimeout. The connection must be a syscall.Conn.
	Dial func(network, addr string, timeout time.Duration) (net.Conn, error)
	// Write writes to a socket what it accepts now; nil: syscall.Write.
	Write func(fd int, b []byte) (int, error)
}

// withDefaults returns limits with every field that New fills in.
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
