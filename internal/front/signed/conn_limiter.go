package signed

import (
	"net"
	"net/http"
	"sync"
)

// connLimiter bounds the number of connections. At the limit, a new connection takes the place of the one that has been open for
// longest without a request, else of the one that has been idle for longest. If requests are open on all of them, the new one is
// closed unread.
type connLimiter struct {
	limit int // 0: there is none

	mu       sync.Mutex
	sequence uint64
	conns    map[net.Conn]connUse
}

// connUse is the state of a connection, and the number of the change to it.
type connUse struct {
	state http.ConnState
	since uint64
}

func newConnLimiter(limit int) *connLimiter {
	return &connLimiter{limit: limit, conns: map[net.Conn]connUse{}}
}

// track is a http.Server.ConnState.
func (l *connLimiter) track(conn net.Conn, state http.ConnState) {
	if l.limit <= 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch state {
	case http.StateClosed, http.StateHijacked:
		delete(l.conns, conn)
		return
	case http.StateNew:
		if len(l.conns) >= l.limit && !l.closeUnused() {
			_ = conn.Close()
			return
		}
	default:
		if _, open := l.conns[conn]; !open {
			return // it was closed in favour of another one
		}
	}
	l.sequence++
	l.conns[conn] = connUse{state, l.sequence}
}

// closeUnused closes the connection that a new one may replace, and reports whether there is one. The caller holds mu.
func (l *connLimiter) closeUnused() bool {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		var oldest net.Conn
		for conn, use := range l.conns {
			if use.state == state && (oldest == nil || use.since < l.conns[oldest].since) {
				oldest = conn
			}
		}
		if oldest != nil {
			delete(l.conns, oldest)
			_ = oldest.Close()
			return true
		}
	}
	return false
}
