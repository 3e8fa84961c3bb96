package upstream

import (
	"net"
	"slices"
	"sync"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/policy"
)

const (
	// maxAbandoned is the number of calls, abandoned after they were written, at which a connection accepts no more. A server that
	// has received an abort sends no answer, so most of these calls remain unanswered.
	maxAbandoned = 256
	// unansweredTimeout, in ms, is how long a connection with open calls may go without an answer before it counts as full.
	unansweredTimeout = 500
)

// conn is one connection to a cache server. Its writer (run) dials, writes the queued calls, and ends the open calls when the
// connection is closed. Its reader (readAnswers) ends each call whose answer arrives.
type conn struct {
	pool          *pool
	number        uint64        // unique in Pools
	nonIdempotent bool          // for non-idempotent calls
	wake          chan struct{} // wakes the writer

	mu        sync.Mutex
	calls     map[string]*call // open calls by id: queued or written, and not done
	queue     []*call          // calls of which nothing is written
	aborts    []string         // ids of calls whose abort frames are not written
	history   idHistory        // ids of calls that have ended
	abandoned int              // number of calls that were aborted or timed out after they were written
	socket    net.Conn         // nil until the connection is established
	closing   bool             // the connection accepts no more calls
	broken    bool             // nothing more can be read
	released  bool             // the connection no longer counts against MaxConns

	buffer       []byte // holds the bytes to write; reused
	bufferMemory int64  // reserved for buffer beyond smallBufferBytes
	partialFrame []byte // part of buffer: the rest of a frame that is partly written
	partialCall  *call  // the call of partialFrame; nil for an abort frame or if there is no partial frame

	// Times are in ms of the clock.
	lastAnswer         float64 // when the last answer arrived
	unansweredSince    float64 // since when there have been open calls and no answer
	partialAnswerAt    float64 // when the last bytes of an incomplete answer arrived; 0: no answer is incomplete
	partialAnswerSince float64 // when the first bytes of that answer arrived
	stallTimerSet      bool    // a timer for checkStall is running
	readPaused         bool    // there is no memory for the next bytes
	lastUsed           float64 // when the connection last had an open call
}

func newConn(pl *pool, nonIdempotent bool) *conn {
	return &conn{
		pool: pl, number: pl.pools.lastConn.Add(1), nonIdempotent: nonIdempotent, calls: map[string]*call{}, wake: make(chan struct{}, 1),
		lastUsed: pl.pools.clock.Now(),
	}
}

func (cn *conn) now() float64 { return cn.pool.pools.clock.Now() }

func (cn *conn) limits() *Limits { return cn.pool.pools.limits.Load() }

func (cn *conn) signal() {
	select {
	case cn.wake <- struct{}{}:
	default:
	}
}

// load returns the number of open calls. ok is false if the connection accepts no more calls. A connection that has had no answer
// for unansweredTimeout counts as full; otherwise it would get the next calls if it has only a few open ones.
func (cn *conn) load() (n int, ok bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if n = len(cn.calls); n > 0 && cn.now()-cn.unansweredSince >= unansweredTimeout {
		n += cn.limits().AttemptsPerConn
	}
	return n, !cn.closing
}

// add queues a call and reports whether the connection accepts it. A connection that has carried an earlier attempt of the same
// request does not accept the call: a second answer to the earlier attempt would be taken for the answer to this one.
func (cn *conn) add(c *call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	limits, now := cn.limits(), cn.now()
	full := len(cn.calls) >= limits.AttemptsPerConn
	if cn.closing || full || cn.calls[c.attempt.ID] != nil {
		return false
	}
	if !c.attempt.Carriers.Add(cn.number) || !cn.history.add(c.attempt.ID) {
		return false
	}
	cn.lastUsed = now
	if len(cn.calls) == 0 {
		cn.unansweredSince = now
	}
	cn.calls[c.attempt.ID] = c
	cn.queue = append(cn.queue, c)
	cn.signal()
	return true
}

// abandon ends a call that has passed its deadline (timeout is true) or that its caller has aborted. At the deadline it reports the
// outcome: timed out, or skipped if the call was not written. For an aborted call it reports no outcome. It returns whether the
// call was written.
func (cn *conn) abandon(c *call, timeout bool) (written bool) {
	cn.mu.Lock()
	written = c.written
	if c.done {
		cn.mu.Unlock()
		return written
	}
	cn.finish(c)
	result := policy.Skipped
	if c.written {
		result = policy.TimedOut
		if cn.abandoned++; cn.abandoned >= maxAbandoned {
			cn.closing = true
		}
		cn.aborts = append(cn.aborts, c.attempt.ID)
		cn.history.abandon(c.attempt.ID)
		// If no answer has arrived since the call was sent, the server's machine may have failed without closing its connections.
		// A later probe over such a connection would fail although the server is running again.
		if timeout && cn.lastAnswer < c.sentAt && !cn.readPaused {
			cn.closing = true
		}
		cn.signal()
	}
	cn.mu.Unlock()
	if timeout {
		c.reportOutcome(core.Outcome{Result: result})
	} else {
		c.suppressOutcome()
	}
	return written
}

// skipExpired skips a call whose SendBy has passed while the established connection accepts no bytes. A call that waits for a
// connection to be established is not skipped, since the result of dialling shows whether the server can be reached.
func (cn *conn) skipExpired(c *call) {
	cn.mu.Lock()
	expired := !c.done && !c.written && cn.socket != nil
	if expired {
		cn.finish(c)
	}
	cn.mu.Unlock()
	if expired {
		c.reportOutcome(core.Outcome{Result: policy.Skipped})
	}
}

// retire makes the connection accept no more calls, because the process that it leads to is gone or was restarted. Calls that are
// not written are skipped: they would reach another process. The connection is closed once the others have ended.
func (cn *conn) retire() {
	cn.mu.Lock()
	cn.closing = true
	var skipped []*call
	for _, c := range cn.calls {
		if !c.written {
			cn.finish(c)
			skipped = append(skipped, c)
		}
	}
	cn.signal()
	cn.mu.Unlock()
	for _, c := range skipped {
		c.reportOutcome(core.Outcome{Result: policy.Skipped})
	}
}

// finish marks an open call as done, and drops what is held for it: the memory of its request is not reserved any longer. Called with
// the lock held.
func (cn *conn) finish(c *call) {
	c.done = true
	delete(cn.calls, c.attempt.ID)
	if !c.written {
		cn.queue = slices.DeleteFunc(cn.queue, func(queued *call) bool { return queued == c })
	}
	c.attempt.Body = nil
	if c.stopTimers != nil {
		c.stopTimers()
		c.stopTimers = nil
	}
}

// setTimers passes the function that stops a call's timers, which is called once the call is done.
func (cn *conn) setTimers(c *call, stop func()) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if c.done {
		stop()
		return
	}
	c.stopTimers = stop
}

// idleSince returns since when the connection has been idle. idle is false if the connection has open calls, accepts no more calls
// or is not established.
func (cn *conn) idleSince() (since float64, idle bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.lastUsed, cn.socket != nil && !cn.closing && len(cn.calls) == 0
}

// closeIdle closes the connection if it is idle. The connection stops counting against MaxConns at once.
func (cn *conn) closeIdle() {
	cn.mu.Lock()
	idle := !cn.closing && len(cn.calls) == 0
	if idle {
		cn.closing = true
		cn.signal()
	}
	cn.mu.Unlock()
	if idle {
		cn.release()
	}
}

// release stops counting the connection against MaxConns. Further calls have no effect.
func (cn *conn) release() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.released {
		cn.released = true
		cn.pool.pools.releaseConn()
	}
}

// endCalls ends all calls of a closed connection: those that were written with the result written, the others with the result
// queued.
func (cn *conn) endCalls(written, queued policy.Result) {
	cn.pool.remove(cn)
	cn.mu.Lock()
	cn.closing = true
	var ended []*call
	for _, c := range cn.calls {
		invariant.Check(!c.done, "an open call is not marked as done")
		cn.finish(c)
		ended = append(ended, c)
	}
	cn.dropBuffer()
	cn.mu.Unlock()
	for _, c := range ended {
		result := queued
		if c.written {
			result = written
		}
		c.reportOutcome(core.Outcome{Result: result})
	}
}
