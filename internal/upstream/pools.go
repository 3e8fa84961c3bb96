// Package upstream carries attempts to cache servers. It has a few connections to each server, each of which carries many attempts
// at a time and answers in any order. The package makes no decisions about requests: it chooses a connection for each attempt and
// reports how the attempt ended, in particular whether it was written. The tests run scripts against a scripted server;
// write_test.go checks the writer with arbitrary partial writes.
package upstream

import (
	"encoding/binary"
	"math"
	"sync"
	"sync/atomic"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/memory"
	"ravenwheel/policy"
)

// Pools holds the connections to all cache servers. It implements core.Upstream.
type Pools struct {
	LateAnswers atomic.Int64 // answers that match no open attempt, such as late and duplicate ones

	clock  *clock.Clock
	limits atomic.Pointer[Limits]
	byID   atomic.Pointer[iradix.Tree[*pool]] // read without a lock on the path of requests
	update sync.Mutex                         // held while byID is replaced
	conns  atomic.Int64                       // number of connections that count against MaxConns

	lastConn atomic.Uint64 // number of the last connection
}

// New returns pools that have no cache servers yet.
func New(c *clock.Clock, limits Limits) *Pools {
	limits = limits.withDefaults()
	p := &Pools{clock: c}
	p.limits.Store(&limits)
	p.byID.Store(iradix.New[*pool]())
	return p
}

// SetLimits changes the attempts per connection and the timeouts, in ms. The new values also apply to open connections.
func (p *Pools) SetLimits(attemptsPerConn int, connectTimeout, idleTimeout float64) {
	limits := *p.limits.Load()
	limits.AttemptsPerConn = max(1, attemptsPerConn)
	limits.ConnectTimeout, limits.IdleTimeout = connectTimeout, idleTimeout
	p.limits.Store(&limits)
}

// Clock returns the clock to which the times of attempts refer.
func (p *Pools) Clock() *clock.Clock { return p.clock }

func key(id policy.ServerID) []byte { return binary.BigEndian.AppendUint64(nil, uint64(id)) }

func idOf(key []byte) policy.ServerID { return policy.ServerID(binary.BigEndian.Uint64(key)) }

// UpdateMembers implements core.Upstream. The connections to a server that is gone, has a new address or was started again accept
// no more calls and are closed once their open calls have ended.
func (p *Pools) UpdateMembers(list []core.Member, full bool) {
	p.update.Lock()
	defer p.update.Unlock()
	tree := p.byID.Load().Txn()
	var retired []*pool
	listed := map[policy.ServerID]bool{}
	for _, member := range list {
		gone := member.State == policy.Gone
		listed[member.ID] = !gone
		old, _ := tree.Get(key(member.ID))
		if old != nil && (gone || !old.leadsTo(member)) {
			retired = append(retired, old)
			tree.Delete(key(member.ID))
			old = nil
		}
		if !gone && old == nil {
			tree.Insert(key(member.ID), &pool{pools: p, addr: member.Addr, started: member.Started})
		}
	}
	if full {
		p.byID.Load().Root().Walk(func(k []byte, old *pool) bool {
			if !listed[idOf(k)] {
				retired = append(retired, old)
				tree.Delete(k)
			}
			return false
		})
	}
	p.byID.Store(tree.Commit())
	for _, old := range retired {
		old.retire()
	}
}

func (p *Pools) pool(id policy.ServerID) *pool {
	found, _ := p.byID.Load().Get(key(id))
	return found
}

// Conns returns the number of connections to listed servers.
func (p *Pools) Conns() (n int) {
	p.byID.Load().Root().Walk(func(_ []byte, server *pool) bool {
		server.mu.Lock()
		n += len(server.conns)
		server.mu.Unlock()
		return false
	})
	return n
}

// Send implements core.Upstream.
func (p *Pools) Send(a core.Attempt, end func(core.Outcome)) (abort func() (written bool)) {
	return p.start(&call{attempt: a, onEnd: end})
}

// start assigns a call to a connection and sets its timers. The call is skipped if its server is no longer listed or if all
// connections to the server are full.
func (p *Pools) start(c *call) (abort func() (written bool)) {
	var conn *conn
	if server := p.pool(c.attempt.Server); server != nil {
		p.closeLongestIdle()
		conn = server.assignCall(c)
	}
	if conn == nil {
		go c.reportOutcome(core.Outcome{Result: policy.Skipped})
		return func() bool { c.suppressOutcome(); return false }
	}
	now, deadline, sendBy := p.clock.Now(), c.attempt.Deadline, c.attempt.SendBy
	stopDeadline, stopSendBy := p.clock.After(deadline-now, func() { conn.abandon(c, true) }), func() {}
	if sendBy > 0 && sendBy < deadline {
		stopSendBy = p.clock.After(sendBy-now, func() { conn.skipExpired(c) })
	}
	conn.setTimers(c, func() {
		stopDeadline()
		stopSendBy()
	})
	return func() bool { return conn.abandon(c, false) }
}

// reserveConn counts one more connection, unless MaxConns is reached or there is no memory for it.
func (p *Pools) reserveConn() bool {
	limits := p.limits.Load()
	if n := p.conns.Add(1); limits.MaxConns > 0 && n > int64(limits.MaxConns) {
		p.conns.Add(-1)
		return false
	}
	if !limits.Memory.TryReserve(memory.ServerConns, connBytes) {
		p.conns.Add(-1)
		return false
	}
	return true
}

func (p *Pools) releaseConn() {
	p.conns.Add(-1)
	p.limits.Load().Memory.Release(memory.ServerConns, connBytes)
}

// closeLongestIdle closes the connection that has been idle for the longest time, if no other could be opened.
func (p *Pools) closeLongestIdle() {
	limits := p.limits.Load()
	full := limits.MaxConns > 0 && p.conns.Load() >= int64(limits.MaxConns)
	if !full && !limits.Memory.IsFull(memory.ServerConns, connBytes) {
		return
	}
	var longestIdle *conn
	since := math.Inf(1)
	p.byID.Load().Root().Walk(func(_ []byte, server *pool) bool {
		server.mu.Lock()
		defer server.mu.Unlock()
		for _, conn := range server.conns {
			if idleSince, idle := conn.idleSince(); idle && idleSince < since {
				longestIdle, since = conn, idleSince
			}
		}
		return false
	})
	if longestIdle != nil {
		longestIdle.closeIdle()
	}
}
