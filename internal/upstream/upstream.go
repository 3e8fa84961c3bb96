// Package upstream carries attempts to cache servers: few connections to each, many attempts on one,
// answers in any order. It decides nothing; it maps each way in which an attempt can end exactly.
package upstream

import (
	"cmp"
	"encoding/binary"
	"math"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/policy"
)

// Limits bound what the connections may take.
type Limits struct {
	RequestsPerConn int                                                              // attempts out on one connection
	ConnsPerServer  int                                                              // connections to one cache server
	MaxConns        int                                                              // and to all together; 0: no bound
	ConnectTimeout  float64                                                          // ms until a connection must be up
	IdleTimeout     float64                                                          // ms after which the other side closes an idle connection
	RequestLifetime float64                                                          // ms for which a request's id may come again; 0: usualLife
	Dial            func(network, addr string, wait time.Duration) (net.Conn, error) // nil: package net's
	Write           func(fd int, b []byte) (int, error)                              // what the socket takes now; nil: the system's
}

// Pools are the connections to all cache servers.
type Pools struct {
	clock       *clock.Clock
	limits      atomic.Pointer[Limits]
	LateAnswers atomic.Int64 // answers that came after their attempt was over

	// pools are found without a lock, by attempts that come by the thousand; a list is put in place whole.
	pools atomic.Pointer[iradix.Tree[*pool]]
	mu    sync.Mutex   // of Members
	total atomic.Int64 // connections, but for those that make room for others
}

// pool is the connections to one cache server at one address.
type pool struct {
	all  *Pools
	addr string

	mu    sync.Mutex
	conns []*conn
}

// New returns pools without a cache server.
func New(c *clock.Clock, l Limits) *Pools {
	l.RequestsPerConn, l.ConnsPerServer = max(1, l.RequestsPerConn), max(aloneConns+1, l.ConnsPerServer)
	if l.Dial == nil {
		l.Dial = net.DialTimeout
	}
	if l.Write == nil {
		l.Write = syscall.Write
	}
	l.RequestLifetime = cmp.Or(l.RequestLifetime, usualLife)
	p := &Pools{clock: c}
	p.limits.Store(&l)
	p.pools.Store(iradix.New[*pool]())
	return p
}

// SetLimits changes what bounds a connection: attempts on it, and its times. Connections that are up keep to the new ones.
func (p *Pools) SetLimits(perConn int, connect, idle float64) {
	l := *p.limits.Load()
	l.RequestsPerConn, l.ConnectTimeout, l.IdleTimeout = max(1, perConn), connect, idle
	p.limits.Store(&l)
}

// Clock is what the attempts' times are read on.
func (p *Pools) Clock() *clock.Clock { return p.clock }

func key(id policy.CacheID) []byte { return binary.BigEndian.AppendUint64(nil, uint64(id)) }

// Members tells where cache servers are. One that is gone, or has moved, loses its idle connections; what
// is out on the others runs on.
func (p *Pools) UpdateMembers(list []core.Member, whole bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t := p.pools.Load().Txn()
	var left []*pool
	listed := map[policy.CacheID]bool{}
	for _, m := range list {
		listed[m.ID] = m.State != policy.Gone
		old, _ := t.Get(key(m.ID))
		if old != nil && (m.State == policy.Gone || old.addr != m.Addr) {
			left = append(left, old)
			t.Delete(key(m.ID))
			old = nil
		}
		if m.State != policy.Gone && old == nil {
			t.Insert(key(m.ID), &pool{all: p, addr: m.Addr})
		}
	}
	if whole {
		p.pools.Load().Root().Walk(func(k []byte, old *pool) bool {
			if !listed[policy.CacheID(binary.BigEndian.Uint64(k))] {
				left = append(left, old)
				t.Delete(k)
			}
			return false
		})
	}
	p.pools.Store(t.Commit())
	for _, old := range left {
		go old.closeIdle()
	}
}

func (p *Pools) pool(id policy.CacheID) *pool {
	pl, _ := p.pools.Load().Get(key(id))
	return pl
}

// Conns is the number of connections held.
func (p *Pools) Conns() (n int) {
	p.pools.Load().Root().Walk(func(_ []byte, pl *pool) bool {
		pl.mu.Lock()
		n += len(pl.conns)
		pl.mu.Unlock()
		return false
	})
	return n
}

// Send starts an attempt; see core.Upstream.
func (p *Pools) Send(a core.Attempt, end func(core.Outcome)) (abort func() bool) {
	return p.start(&call{attempt: a, end: end})
}

const (
	// usualLife: in ms, over the longest deadline that is usual, where it is not told.
	usualLife = 20_000
	// usualPart: with so many calls on each connection another one is opened, while there may be more.
	usualPart = 4
	// aloneConns of a cache server's connections are for calls that may not be repeated.
	aloneConns = 2
)

// start puts a call on a connection and its time-out on the clock.
func (p *Pools) start(c *call) (abort func() bool) {
	var conn *conn
	if pl := p.pool(c.attempt.Server); pl != nil {
		p.makeRoom()
		conn = pl.place(c)
	}
	if conn == nil { // it has left the list since, or all connections are taken: the module chooses anew
		go c.finish(core.Outcome{Result: policy.Skipped})
		return func() bool { c.forget(); return false }
	}
	now, until, sendBy := p.clock.Now(), c.attempt.Deadline, c.attempt.SendBy
	stop, stale := p.clock.After(until-now, func() { conn.giveUp(c, true) }), func() {}
	if sendBy > 0 && sendBy < until {
		stale = p.clock.After(sendBy-now, func() { conn.overdue(c) })
	}
	return func() bool {
		stop()
		stale()
		return conn.giveUp(c, false)
	}
}

// place finds room for a call: the least loaded connection, or a new one. Guards against an answer that
// can't be read, which ends all that is open on its connection: reads are spread in small parts, and what
// may not be repeated goes over connections of its own.
func (pl *pool) place(c *call) *conn {
	part, most := usualPart, pl.all.limits.Load().ConnsPerServer-aloneConns
	alone := c.attempt.NonIdempotent
	if alone {
		part, most = 1, aloneConns
	}
	pl.mu.Lock()
	defer pl.mu.Unlock()
	var own []*conn
	loads := map[*conn]int{}
	for _, k := range pl.conns {
		if n, ok := k.load(); ok && k.alone == alone {
			own = append(own, k)
			loads[k] = n
		}
	}
	slices.SortStableFunc(own, func(a, b *conn) int { return loads[a] - loads[b] })
	find := func(below int) *conn {
		for _, k := range own {
			if loads[k] < below && k.take(c) {
				return k
			}
		}
		return nil
	}
	room := len(own) < most && len(pl.conns) < 2*pl.all.limits.Load().ConnsPerServer
	if room {
		if k := find(part); k != nil {
			return k
		}
	}
	if !room || !pl.all.reserve() {
		return find(math.MaxInt)
	}
	k := newConn(pl, alone)
	k.take(c)
	pl.conns = append(pl.conns, k)
	go k.run()
	return k
}

// reserve books one more connection, if there may be one.
func (p *Pools) reserve() bool {
	most := int64(p.limits.Load().MaxConns)
	if n := p.total.Add(1); most > 0 && n > most {
		p.total.Add(-1)
		return false
	}
	return true
}

// makeRoom ends the connection that has been at rest for longest, where there may be no more of them.
func (p *Pools) makeRoom() {
	if most := int64(p.limits.Load().MaxConns); most <= 0 || p.total.Load() < most {
		return
	}
	var idlest *conn
	since := math.Inf(1)
	p.pools.Load().Root().Walk(func(_ []byte, pl *pool) bool {
		pl.mu.Lock()
		defer pl.mu.Unlock()
		for _, k := range pl.conns {
			if used, rests := k.rests(); rests && used < since {
				idlest, since = k, used
			}
		}
		return false
	})
	if idlest != nil {
		idlest.yield()
	}
}

func (pl *pool) remove(k *conn) {
	k.release()
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for i, o := range pl.conns {
		if o == k {
			pl.conns = append(pl.conns[:i], pl.conns[i+1:]...)
			return
		}
	}
}

// up tells whether a connection stands.
func (pl *pool) up() bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.ContainsFunc(pl.conns, func(k *conn) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.nc != nil && !k.closed
	})
}

// heardSince tells whether an answer has come since then, over any connection.
func (pl *pool) heardSince(then float64) bool {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	return slices.ContainsFunc(pl.conns, func(k *conn) bool {
		k.mu.Lock()
		defer k.mu.Unlock()
		return k.heard > then
	})
}

func (pl *pool) closeIdle() {
	pl.mu.Lock()
	defer pl.mu.Unlock()
	for _, k := range pl.conns {
		k.retire()
	}
}
