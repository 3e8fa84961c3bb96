package upstream

import (
	"math"
	"slices"
	"sync"

	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// pool holds the connections to one process of a cache server. A process that was started later at the same address is another one.
type pool struct {
	pools   *Pools
	addr    string
	started policy.Time // when discovery says that the process started; 0: unknown

	mu      sync.Mutex
	conns   []*conn
	retired bool // the process is gone, or was started again
}

// assignCall adds a call to the least loaded connection that may carry it, or to a new one, and returns that connection. It returns
// nil if no connection can take the call. An unreadable answer ends every call of its connection. Therefore idempotent calls are
// spread over connections in small numbers, and non-idempotent calls have separate connections.
func (pl *pool) assignCall(c *call) *conn {
	limits := pl.pools.limits.Load()
	threshold, maxConns := spreadThreshold, limits.ConnsPerServer-nonIdempotentConns
	if c.attempt.NonIdempotent {
		threshold, maxConns = 1, nonIdempotentConns
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if pl.retired {
		return nil
	}
	candidates, loads := pl.byLoad(c.attempt.NonIdempotent)
	addBelow := func(load int) *conn {
		for _, conn := range candidates {
			if loads[conn] < load && conn.add(c) {
				return conn
			}
		}
		return nil
	}
	mayOpen := len(candidates) < maxConns && len(pl.conns) < closingConnsFactor*limits.ConnsPerServer
	if mayOpen {
		if conn := addBelow(threshold); conn != nil {
			return conn
		}
	}
	if !mayOpen || !pl.pools.reserveConn() {
		return addBelow(math.MaxInt)
	}
	conn := newConn(pl, c.attempt.NonIdempotent)
	conn.add(c)
	pl.conns = append(pl.conns, conn)
	go conn.run()
	return conn
}

// byLoad returns the connections that accept calls, either those for non-idempotent calls or the others, the least loaded first,
// and their loads.
func (pl *pool) byLoad(nonIdempotent bool) ([]*conn, map[*conn]int) {
	var conns []*conn
	loads := map[*conn]int{}
	for _, conn := range pl.conns {
		if load, ok := conn.load(); ok && conn.nonIdempotent == nonIdempotent {
			conns = append(conns, conn)
			loads[conn] = load
		}
	}
	slices.SortStableFunc(conns, func(a, b *conn) int { return loads[a] - loads[b] })
	return conns, loads
}

// leadsTo reports whether a server's connections may still be used for what discovery now says of the server.
func (pl *pool) leadsTo(member core.Member) bool {
	return pl.addr == member.Addr && (member.Started == 0 || member.Started == pl.started)
}

func (pl *pool) remove(closed *conn) {
	closed.release()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	if i := slices.Index(pl.conns, closed); i >= 0 {
		pl.conns = append(pl.conns[:i], pl.conns[i+1:]...)
	}
}

// hasOpenConn reports whether a connection is established and accepts calls.
func (pl *pool) hasOpenConn() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.ContainsFunc(pl.conns, func(cn *conn) bool {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		return cn.socket != nil && !cn.closing
	})
}

// answeredSince reports whether an answer has arrived since the given time, in ms of the clock, over any connection.
func (pl *pool) answeredSince(since float64) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.ContainsFunc(pl.conns, func(cn *conn) bool {
		cn.mu.Lock()
		defer cn.mu.Unlock()
		return cn.lastAnswer > since
	})
}

// retire makes the pool take no more calls, and its connections end once their written calls have ended.
func (pl *pool) retire() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	pl.retired = true
	for _, conn := range pl.conns {
		conn.retire()
	}
}
