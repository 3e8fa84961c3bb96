package upstream

import (
	"cmp"
	"errors"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
	"ravenwheel/internal/transient"
	"ravenwheel/policy"
)

// call is one attempt on its way. Its connection's lock guards its state. Its frame is made as it is written: what the frame
// says of time holds for its first byte.
type call struct {
	attempt core.Attempt
	end     func(core.Outcome)

	once    sync.Once
	over    bool
	written bool // its first byte is out, and the rest follows; once its connection has broken: it went out whole
	sent    float64
}

// finish reports the end of a call that is over, unless it was forgotten.
func (c *call) finish(e core.Outcome) {
	e.Written = c.written
	c.once.Do(func() { c.end(e) })
}

// forget gives the call up: its end will not be reported.
func (c *call) forget() { c.once.Do(func() {}) }

// conn is one connection. Its writer (run) dials, writes what is queued and closes the books; its reader hands out
// answers.
type conn struct {
	pool  *pool
	alone bool // for calls that may not be repeated

	mu      sync.Mutex
	queue   []*call          // of which no byte is out
	aborts  []string         // ids whose abort is not written yet
	out     []byte           // the one buffer for what is written
	rest    []byte           // of out: what the socket has not taken of a frame that has begun
	partly  *call            // whose frame that is; nil: an abort's, or none
	open    map[string]*call // queued or written, not over
	given   int              // given up after they were written, with no answer since
	ids     idSet            // of the calls that it carried
	nc      net.Conn
	heard   float64 // when an answer came last
	quiet   float64 // since when calls wait and none was answered
	half    float64 // when bytes of an answer came last that is not whole; 0: it is
	began   float64 // when the first of them came
	watched bool    // a timer looks at half
	used    float64 // when the connection last had a call
	yielded bool    // its place among all connections is another's
	closed  bool    // takes nothing more
	broken  bool    // nothing more can be read
	wake    chan struct{}
}

// mostGiven: with so many answers still owed to nobody, a connection takes no new calls. Most of them never
// come, as a cache server that was told to abort sends none: the connection is replaced by another.
const mostGiven = 256

// quietFor: a connection on which calls wait for so many ms and none is answered is the last to get another.
// stallFor: an answer of which no more comes for so many ms has stopped short. answerFor: one that is not whole so many ms
// after its first byte never will be, however it trickles.
const quietFor, stallFor, answerFor = 500, 300, 3000

// writeWait: a connection that takes no bytes for so long is broken.
const writeWait = 3 * time.Second

func newConn(pl *pool, alone bool) *conn {
	return &conn{
		pool: pl, alone: alone, open: map[string]*call{}, wake: make(chan struct{}, 1), used: pl.all.clock.Now(),
	}
}

func (k *conn) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// load is how many calls are open here; ok is false if it takes no more. Guards against a connection on which
// nothing comes any more: with few calls open, it would get the next ones. It counts as full.
func (k *conn) load() (n int, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n = len(k.open); n > 0 && k.pool.all.clock.Now()-k.quiet >= quietFor {
		n += k.pool.all.limits.Load().RequestsPerConn
	}
	return n, !k.closed
}

// take queues a call if this connection may carry it. One that carried an earlier attempt of the same request may not,
// answered or not: a second answer to that one, some milliseconds late, would pass for the answer to this.
func (k *conn) take(c *call) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	l, now := k.pool.all.limits.Load(), k.pool.all.clock.Now()
	if k.closed || len(k.open) >= l.RequestsPerConn || !k.ids.add(c.attempt.ID, now, l.RequestLifetime) {
		return false
	}
	k.used = now
	if len(k.open) == 0 {
		k.quiet = k.used
	}
	k.open[c.attempt.ID] = c
	k.queue = append(k.queue, c)
	k.signal()
	return true
}

// giveUp ends a call whose time is up, or forgets one that was aborted, and tells whether it was written. What was
// not never ran.
func (k *conn) giveUp(c *call, timeout bool) (written bool) {
	k.mu.Lock()
	written = c.written
	if c.over {
		k.mu.Unlock()
		return written
	}
	c.over = true
	delete(k.open, c.attempt.ID)
	result := policy.Skipped
	if c.written {
		result = policy.TimedOut
		if k.given++; k.given >= mostGiven {
			k.closed = true
		}
		k.aborts = append(k.aborts, c.attempt.ID)
		// Guards against a machine that vanished: its connections stay open and silent, and a trial over
		// one would find it dead after it is back. No answer since the call was sent: no new calls here.
		if timeout && k.heard < c.sent {
			k.closed = true
		}
		k.signal()
	}
	k.mu.Unlock()
	if timeout {
		c.finish(core.Outcome{Result: result})
	} else {
		c.forget()
	}
	return written
}

// retire lets a connection take nothing more; an idle one ends.
func (k *conn) retire() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	k.signal()
}

// rests tells since when a connection has had nothing open; ok is false if it has, or takes nothing more.
func (k *conn) rests() (since float64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used, k.nc != nil && !k.closed && len(k.open) == 0
}

// yield ends a connection that rests, and gives its place to another one at once.
func (k *conn) yield() {
	k.mu.Lock()
	rests := !k.closed && len(k.open) == 0
	if rests {
		k.closed = true
		k.signal()
	}
	k.mu.Unlock()
	if rests {
		k.release()
	}
}

// release gives the connection's place among all of them back, once.
func (k *conn) release() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !k.yielded {
		k.yielded = true
		k.pool.all.total.Add(-1)
	}
}

// redials: how often a connection is tried again that was reset as it came up.
const redials = 2

// overdue ends a call whose decision has become too old before its first byte was out, as the connection takes nothing. One
// that waits for a connection to come up learns by that whether the server can be reached.
func (k *conn) overdue(c *call) {
	k.mu.Lock()
	late := !c.over && !c.written && k.nc != nil
	if late {
		c.over = true
		delete(k.open, c.attempt.ID)
	}
	k.mu.Unlock()
	if late {
		c.finish(core.Outcome{Result: policy.Skipped})
	}
}

// ownRedials: how often, and after what pause in ms, a connection is tried again that failed for want of something of this
// machine's own. What waits for it moves on to another server then.
const ownRedials, ownPause = 5, 10

// dial brings the connection up. Guards against a peer that resets it while it is new: someone listens there,
// and to call that a failed connection would take a sound cache server out.
func (k *conn) dial() (nc net.Conn, err error) {
	for resets, own := 0, 0; ; {
		nc, err = k.pool.all.limits.Load().Dial("tcp", k.pool.addr, clock.Duration(k.pool.all.limits.Load().ConnectTimeout))
		switch {
		case errors.Is(err, syscall.ECONNRESET) && resets < redials:
			resets++
		case transient.IsTransient(err) && own < ownRedials:
			own++
			over := make(chan struct{})
			k.pool.all.clock.After(ownPause, func() { close(over) })
			<-over
		default:
			return nc, err
		}
	}
}

func (k *conn) run() {
	began := k.pool.all.clock.Now()
	nc, err := k.dial()
	var raw syscall.RawConn
	if err == nil {
		raw, err = rawOf(nc)
	}
	if err != nil {
		result := policy.ConnectFailed
		var late net.Error
		// Guards against a cache server that holds few connections, or whose new ones come up late: with others of ours up,
		// or answering meanwhile, it is there. Taken as one that could not be reached, it was passed over for seconds and
		// came back as cold. Nor does a failure of this machine's own say who listens there: out of descriptors, one sound cache server
		// after another was taken for dead.
		if transient.IsTransient(err) || errors.Is(err, syscall.ECONNRESET) && k.pool.up() || errors.As(err, &late) && late.Timeout() && k.pool.heardSince(began) {
			result = policy.Skipped
		}
		k.end(result, result)
		return
	}
	k.mu.Lock()
	k.nc = nc
	k.mu.Unlock()
	go k.read(nc)
	idle := k.pool.all.limits.Load().IdleTimeout
	stop := func() {} // of the one idle timer
	for range k.wake {
		var done bool
		var failed error
		err := raw.Write(func(fd uintptr) (all bool) {
			_ = nc.SetWriteDeadline(time.Now().Add(writeWait)) // it has just taken something, or is about to
			all, done, failed = k.push(int(fd))
			return all
		})
		err = cmp.Or(err, failed)
		if err != nil {
			nc.Close() // the reader sees the end
			done = k.failed()
		}
		stop()
		if done {
			nc.Close()
			// What was still to be written never ran, and says nothing of who listens there.
			k.end(policy.Reset, policy.Skipped)
			return
		}
		if idle > 0 {
			stop = k.pool.all.clock.After(idle/2+1, k.signal)
		}
	}
}

// rawOf gives the socket of a connection that was dialled, which is not kept where it has none.
func rawOf(nc net.Conn) (raw syscall.RawConn, err error) {
	if sc, ok := nc.(syscall.Conn); ok {
		if raw, err = sc.SyscallConn(); err == nil {
			return raw, nil
		}
	}
	nc.Close()
	return nil, errors.Join(errors.New("upstream: a connection without a socket"), err)
}

// push writes what is due as far as the socket takes it now; all is false while it takes no more, and done tells that the
// connection has ended. What is due is looked at in the very moment in which its first byte goes out, under the lock: a call
// that was given up, or whose decision has become too old, while the connection came up or was blocked, is not written and
// never ran.
func (k *conn) push(fd int) (all, done bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		if k.broken {
			return true, true, nil
		}
		now := k.pool.all.clock.Now()
		k.drop(now)
		k.out = append(k.out[:0], k.rest...)
		ends := []int{len(k.out)}
		for _, c := range k.queue {
			k.out = appendFrame(k.out, &c.attempt, now)
			ends = append(ends, len(k.out))
		}
		for _, id := range k.aborts {
			k.out = resp.AppendFrame(k.out, "abort", id)
		}
		if len(k.out) == 0 {
			break
		}
		n, err := k.pool.all.limits.Load().Write(fd, k.out)
		k.took(max(0, n), ends, now)
		switch {
		case err == syscall.EAGAIN: // and nothing else: whoever waits after a part was taken may not be told of more room
			return false, false, nil
		case err != nil && err != syscall.EINTR:
			return true, false, err
		}
	}
	now := k.pool.all.clock.Now()
	if len(k.open) > 0 {
		k.used = now
	} else if idle := k.pool.all.limits.Load().IdleTimeout; idle > 0 && now-k.used >= idle/2 {
		k.closed = true // before the other side closes it under a new call
	}
	return true, k.closed && len(k.open) == 0, nil
}

// drop takes from the queue what is not to be written any more: what was given up, what was decided too long ago, and what a
// client wanted that has gone meanwhile.
func (k *conn) drop(now float64) {
	k.queue = slices.DeleteFunc(k.queue, func(c *call) bool {
		late := c.attempt.SendBy > 0 && now > c.attempt.SendBy
		if !c.over && (late || c.attempt.ClientGone != nil && c.attempt.ClientGone()) {
			c.over = true
			delete(k.open, c.attempt.ID)
			go c.finish(core.Outcome{Result: policy.Skipped})
		}
		return c.over
	})
}

// took books the first n bytes of out as written: the rest of a frame up to the first of ends, a call's up to each next one,
// and aborts behind them. Of what has begun the rest has to follow.
func (k *conn) took(n int, ends []int, now float64) {
	if n < ends[0] {
		k.rest = k.out[n:ends[0]]
		return
	}
	k.rest, k.partly = nil, nil
	for i, c := range k.queue {
		if n <= ends[i] {
			k.queue = slices.Delete(k.queue, 0, i)
			return
		}
		c.written, c.sent, c.attempt.Body = true, now, nil
		if n < ends[i+1] {
			k.rest, k.partly = k.out[n:ends[i+1]], c
			k.queue = slices.Delete(k.queue, 0, i+1)
			return
		}
	}
	k.queue = k.queue[:0]
	if last := ends[len(ends)-1]; n > last {
		k.rest, k.aborts = k.out[n:], k.aborts[:0]
	}
}

// failed books that nothing more can be written; done tells that the reader has seen the end. A call of which the connection
// took no whole frame never ran. Guards against a write that may not be repeated, given up as one that may have run though not
// all of it had left.
func (k *conn) failed() (done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed = true; k.partly != nil && !k.partly.over {
		k.partly.written = false
	}
	return k.broken
}

func (k *conn) read(nc net.Conn) {
	buf := resp.Buffer{MaxFrameSize: resp.MaxResponseSize}
	for {
		parts, _, err := buf.Next(halves{k, nc, &buf})
		if err == nil {
			err = k.answer(parts, buf.Buffered() > 0)
		}
		if err != nil {
			k.mu.Lock()
			k.closed, k.broken = true, true // before anybody can see the close, and send a call after it
			k.mu.Unlock()
			nc.Close()
			k.signal() // the writer, which alone knows what was written, ends what is open
			return
		}
	}
}

// halves reads for a connection's buffer, and notes whenever more of an answer is waited for.
type halves struct {
	k   *conn
	nc  net.Conn
	buf *resp.Buffer
}

func (h halves) Read(p []byte) (int, error) {
	if h.buf.Buffered() > 0 {
		h.k.mu.Lock()
		h.k.begun()
		h.k.mu.Unlock()
	}
	return h.nc.Read(p)
}

// begun notes that bytes have come that are no whole answer yet.
func (k *conn) begun() {
	if k.half = k.pool.all.clock.Now(); k.began == 0 {
		k.began = k.half
	}
	if !k.watched {
		k.watched = true
		k.pool.all.clock.After(stallFor, k.stalled)
	}
}

// stalled ends a connection on which an answer stopped short: none that is behind it can come.
func (k *conn) stalled() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.half == 0 {
		k.watched = false
		return
	}
	if left := min(k.half+stallFor, k.began+answerFor) - k.pool.all.clock.Now(); left > 0 {
		k.pool.all.clock.After(left, k.stalled)
		return
	}
	k.nc.Close() // the reader ends what is open
}

func (k *conn) answer(parts [][]byte, more bool) error {
	id, e, err := readAnswer(parts)
	if err != nil {
		return err
	}
	k.mu.Lock()
	c := k.open[id]
	known := c != nil && c.written
	if known {
		c.over = true
		delete(k.open, id)
	} else {
		// Guards against passing on an answer to an attempt that was given up, or a second one: dropped and counted.
		k.pool.all.LateAnswers.Add(1)
	}
	now := k.pool.all.clock.Now()
	k.heard, k.used, k.quiet, k.half, k.began = now, now, now, 0, 0
	if more {
		k.begun()
	}
	if k.closed {
		k.signal()
	}
	k.mu.Unlock()
	if known {
		c.finish(e)
	}
	return nil
}

// end closes the connection's books: calls that were written may have run, the others never did.
func (k *conn) end(written, queued policy.Result) {
	k.pool.remove(k)
	k.mu.Lock()
	k.closed = true
	var calls []*call
	for _, c := range k.open {
		invariant.Check(!c.over, "an open call is not over")
		c.over = true
		calls = append(calls, c)
	}
	clear(k.open)
	k.mu.Unlock()
	for _, c := range calls {
		result := queued
		if c.written {
			result = written
		}
		c.finish(core.Outcome{Result: result})
	}
}

// idSet remembers ids for as long as a request lives, and at most twice that.
type idSet struct {
	now, before map[string]struct{}
	turned      float64
}

// add takes an id in; ok is false if it was there.
func (s *idSet) add(id string, now, life float64) (ok bool) {
	if s.now == nil || now-s.turned >= life {
		s.now, s.before, s.turned = map[string]struct{}{}, s.now, now
	}
	_, new := s.now[id]
	_, old := s.before[id]
	if new || old {
		return false
	}
	s.now[id] = struct{}{}
	return true
}
