package signed

import (
	"net"
	"net/http"
	"sync"
	"time"

	"ravenwheel/internal/memory"
	"ravenwheel/internal/reasons"
	"ravenwheel/internal/tcpinfo"
)

const (
	// minUnusedAge is how long a new connection is left alone, since its request may be on its way.
	minUnusedAge = 50 * time.Millisecond
	// slotPollInterval is the time between two looks for a slot while a connection waits for one.
	slotPollInterval = 5 * time.Millisecond
)

// connLimiter bounds the number of connections and their memory. At the limit, a new connection takes the place of the one that has
// been open for longest without a request, else of the one that has been idle for longest. A connection whose request lies unread in
// the socket is neither. If there is no such connection, the new one waits, and those behind it wait in the listener's queue.
type connLimiter struct {
	limit  int             // 0: there is none
	memory *memory.Account // nil: not limited
	closes *reasons.Counters[CloseReason]

	mu       sync.Mutex
	sequence uint64
	conns    map[net.Conn]connUse
}

// connUse is the state of a connection, the number of the change to it, and when the connection was accepted.
type connUse struct {
	state    http.ConnState
	since    uint64
	accepted time.Time
}

func newConnLimiter(limit int, account *memory.Account, closes *reasons.Counters[CloseReason]) *connLimiter {
	return &connLimiter{limit: limit, memory: account, closes: closes, conns: map[net.Conn]connUse{}}
}

// listen returns a listener whose Accept waits until the limiter has room for the connection.
func (l *connLimiter) listen(ln net.Listener) net.Listener {
	return &limitedListener{Listener: ln, limiter: l, closed: make(chan struct{})}
}

// limitedListener is the listener of a connLimiter.
type limitedListener struct {
	net.Listener
	limiter   *connLimiter
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener. A connection that was accepted is returned even if the listener is closed while it waits, as its
// request may have been taken.
func (ln *limitedListener) Accept() (net.Conn, error) {
	conn, err := ln.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for !ln.limiter.admit(conn) {
		select {
		case <-ln.closed:
			return conn, nil
		case <-time.After(slotPollInterval):
		}
	}
	return conn, nil
}

// Close implements net.Listener.
func (ln *limitedListener) Close() error {
	ln.closeOnce.Do(func() { close(ln.closed) })
	return ln.Listener.Close()
}

// admit gives a new connection a slot and its memory, if there is room.
func (l *connLimiter) admit(conn net.Conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.makeRoom() {
		return false
	}
	l.sequence++
	l.conns[conn] = connUse{state: http.StateNew, since: l.sequence, accepted: time.Now()}
	return true
}

// track is a http.Server.ConnState.
func (l *connLimiter) track(conn net.Conn, state http.ConnState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	use, open := l.conns[conn]
	switch {
	case !open: // it was closed in favour of another one, or accepted as the listener was closed
	case state == http.StateClosed || state == http.StateHijacked:
		l.remove(conn)
	default:
		l.sequence++
		use.state, use.since = state, l.sequence
		l.conns[conn] = use
	}
}

// makeRoom reserves the place and the memory of a new connection, and reports whether there is room for it. The caller holds mu.
func (l *connLimiter) makeRoom() bool {
	for l.limit > 0 && len(l.conns) >= l.limit || !l.memory.TryReserve(memory.Services, connBytes) {
		if !l.closeUnused() {
			return false
		}
	}
	return true
}

// remove frees the place and the memory of a connection that has them. The caller holds mu.
func (l *connLimiter) remove(conn net.Conn) {
	if _, held := l.conns[conn]; held {
		delete(l.conns, conn)
		l.memory.Release(memory.Services, connBytes)
	}
}

// closeUnused closes the connection that a new one may replace, and reports whether there is one. The caller holds mu.
func (l *connLimiter) closeUnused() bool {
	for _, state := range []http.ConnState{http.StateNew, http.StateIdle} {
		var oldest net.Conn
		for conn, use := range l.conns {
			if use.state == state && (oldest == nil || use.since < l.conns[oldest].since) && use.isUnused(conn) {
				oldest = conn
			}
		}
		if oldest != nil {
			l.closes.Add(ClosedForSlot)
			l.remove(oldest)
			_ = oldest.Close()
			return true
		}
	}
	return false
}

// isUnused reports whether a connection without an open request has none on its way either, as far as can be known.
func (u connUse) isUnused(conn net.Conn) bool {
	if u.state == http.StateNew && time.Since(u.accepted) < minUnusedAge {
		return false
	}
	return !tcpinfo.HasUnread(conn)
}
