package upstream

import (
	"net"
	"sync"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/policy"
)

const (
	// maxAbandoned is the number of calls, given up after they were written, at which a connection accepts no more. A
	// server that was told to abort sends no answer, so most of these calls remain unanswered.
	maxAbandoned = 256
	// unansweredTimeout, in ms: a connection whose calls have had no answer for so long counts as full.
	unansweredTimeout = 500
)

// conn is one connection to a cache server. Its writer (run) dials, writes queued calls and ends the calls when the
// connection is closed; its reader (readAnswers) ends calls with their answers.
type conn struct {
	pool          *pool
	nonIdempotent bool          // for non-idempotent calls
	wake          chan struct{} // wakes the writer

	mu        sync.Mutex
	calls     map[string]*call // by id, queued or written and not done
	queue     []*call          // of which nothing is written
	aborts    []string         // ids whose abort is not written
	usedIDs   idSet            // of all calls
	abandoned int              // calls given up after they were written, since the last answer
	socket    net.Conn         // nil while dialling
	closing   bool             // it accepts no more calls
	broken    bool             // nothing more can be read
	released  bool             // it does not count against MaxConns any more

	buffer       []byte // reused for what is written
	partialFrame []byte // of buffer: the rest of a frame that is written in part
	partialCall  *call  // whose frame that is; nil: an abort's, or none

	// Times are in ms of the clock.
	lastAnswer         float64
	unansweredSince    float64 // since when calls are open without an answer
	partialAnswerAt    float64 // when bytes of an incomplete answer arrived last; 0: there is none
	partialAnswerSince float64 // when the first of them arrived
	stallTimerSet      bool
	lastUsed           float64 // when it last had a call
}

func newConn(pl *pool, nonIdempotent bool) *conn {
	return &conn{
		pool: pl, nonIdempotent: nonIdempotent, calls: map[string]*call{}, wake: make(chan struct{}, 1),
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

// load is the number of open calls; ok is false if the connection accepts no more. A connection without answers counts
// as full: with few calls open it would otherwise get the next ones.
func (cn *conn) load() (n int, ok bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if n = len(cn.calls); n > 0 && cn.now()-cn.unansweredSince >= unansweredTimeout {
		n += cn.limits().AttemptsPerConn
	}
	return n, !cn.closing
}

// add queues a call and reports whether the connection accepts it. It does not if it has carried an earlier attempt of
// the same request: a second answer to that one would be taken for an answer to this.
func (cn *conn) add(c *call) bool {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	limits, now := cn.limits(), cn.now()
	full := len(cn.calls) >= limits.AttemptsPerConn
	if cn.closing || full || !cn.usedIDs.add(c.attempt.ID, now, limits.RequestLifetime) {
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

// abandon ends a call whose deadline has passed (timeout) and reports its outcome: timed out, or skipped if it was not
// written. Otherwise it forgets the call, which its caller has aborted. It returns whether the call was written.
func (cn *conn) abandon(c *call, timeout bool) (written bool) {
	cn.mu.Lock()
	written = c.written
	if c.done {
		cn.mu.Unlock()
		return written
	}
	c.done = true
	delete(cn.calls, c.attempt.ID)
	result := policy.Skipped
	if c.written {
		result = policy.TimedOut
		if cn.abandoned++; cn.abandoned >= maxAbandoned {
			cn.closing = true
		}
		cn.aborts = append(cn.aborts, c.attempt.ID)
		// Without any answer since the call was sent, the machine may have vanished and left its connections open and
		// silent. A later probe over one would fail although the server is back.
		if timeout && cn.lastAnswer < c.sentAt {
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

// skipExpired skips a call whose decision has become too old while the established connection accepts no bytes. A call
// that waits for a connection to be established goes on waiting, as that shows whether the server can be reached.
func (cn *conn) skipExpired(c *call) {
	cn.mu.Lock()
	expired := !c.done && !c.written && cn.socket != nil
	if expired {
		c.done = true
		delete(cn.calls, c.attempt.ID)
	}
	cn.mu.Unlock()
	if expired {
		c.reportOutcome(core.Outcome{Result: policy.Skipped})
	}
}

// retire makes a connection accept no more calls. It ends once it is idle.
func (cn *conn) retire() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	cn.closing = true
	cn.signal()
}

// idleSince returns since when the connection has had no open calls; idle is false if it has some or accepts no more.
func (cn *conn) idleSince() (since float64, idle bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	return cn.lastUsed, cn.socket != nil && !cn.closing && len(cn.calls) == 0
}

// closeIdle closes a connection that is idle, and makes room for another one at once.
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

// release removes the connection from the count for MaxConns, once.
func (cn *conn) release() {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if !cn.released {
		cn.released = true
		cn.pool.pools.conns.Add(-1)
	}
}

// endCalls ends all calls of a closed connection: those that were written with one result, the others with another.
func (cn *conn) endCalls(written, queued policy.Result) {
	cn.pool.remove(cn)
	cn.mu.Lock()
	cn.closing = true
	var ended []*call
	for _, c := range cn.calls {
		invariant.Check(!c.done, "an open call is not done")
		c.done = true
		ended = append(ended, c)
	}
	clear(cn.calls)
	cn.mu.Unlock()
	for _, c := range ended {
		result := queued
		if c.written {
			result = written
		}
		c.reportOutcome(core.Outcome{Result: result})
	}
}
