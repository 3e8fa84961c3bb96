package upstream

import (
	"cmp"
	"net"
	"slices"
	"syscall"
	"time"

	"ravenwheel/internal/core"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// writeTimeout: a connection that accepts no bytes for so long is broken.
const writeTimeout = 3 * time.Second

// run is the connection's writer. It returns when the connection is closed and all its calls are ended.
func (k *conn) run() {
	dialledAt := k.now()
	nc, err := k.dial()
	var raw syscall.RawConn
	if err == nil {
		raw, err = rawSocket(nc)
	}
	if err != nil {
		result := k.dialFailure(err, dialledAt)
		k.endCalls(result, result)
		return
	}
	k.mu.Lock()
	k.socket = nc
	k.mu.Unlock()
	go k.readAnswers(nc)
	k.writeUntilClosed(nc, raw)
	nc.Close()
	// What was not written has not run, and says nothing about the server.
	k.endCalls(policy.Reset, policy.Skipped)
}

// writeUntilClosed writes what is pending whenever it is signalled, and returns when the connection is done.
func (k *conn) writeUntilClosed(nc net.Conn, raw syscall.RawConn) {
	idleTimeout := k.limits().IdleTimeout
	stopIdleTimer := func() {}
	for range k.wake {
		var done bool
		var writeErr error
		err := raw.Write(func(fd uintptr) (all bool) {
			_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // from the last progress
			all, done, writeErr = k.writePending(int(fd))
			return all
		})
		if cmp.Or(err, writeErr) != nil {
			nc.Close() // ends the reader
			done = k.writeFailed()
		}
		stopIdleTimer()
		if done {
			return
		}
		if idleTimeout > 0 {
			stopIdleTimer = k.pool.pools.clock.After(idleTimeout*idleCloseFraction+idleTimerMargin, k.signal)
		}
	}
}

// writePending writes what is queued as far as the socket accepts it. all is false while it accepts no more; done reports
// that the connection is to be closed. What is written is chosen under the lock as its first byte is written: a call that
// was abandoned, or whose decision has become too old, while the connection was dialled or blocked is never written.
func (k *conn) writePending(fd int) (all, done bool, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for {
		if k.broken {
			return true, true, nil
		}
		now := k.now()
		k.dropOutdated(now)
		frameEnds := k.fillBuffer(now)
		if len(k.buffer) == 0 {
			break
		}
		n, err := k.limits().Write(fd, k.buffer)
		k.recordWritten(max(0, n), frameEnds, now)
		switch {
		case err == syscall.EAGAIN: // only then does the poller report when the socket accepts more
			return false, false, nil
		case err != nil && err != syscall.EINTR:
			return true, false, err
		}
	}
	now := k.now()
	if len(k.calls) > 0 {
		k.lastUsed = now
	} else if idleTimeout := k.limits().IdleTimeout; idleTimeout > 0 && now-k.lastUsed >= idleTimeout*idleCloseFraction {
		k.closing = true // before the server closes it under a new call
	}
	return true, k.closing && len(k.calls) == 0, nil
}

// fillBuffer encodes the rest of a partial frame, the queued calls and the aborts. frameEnds are the offsets at which the
// partial frame and each call's frame end.
func (k *conn) fillBuffer(now float64) (frameEnds []int) {
	k.buffer = append(k.buffer[:0], k.partialFrame...)
	frameEnds = []int{len(k.buffer)}
	for _, c := range k.queue {
		k.buffer = appendFrame(k.buffer, &c.attempt, now)
		frameEnds = append(frameEnds, len(k.buffer))
	}
	for _, id := range k.aborts {
		k.buffer = resp.AppendFrame(k.buffer, "abort", id)
	}
	return frameEnds
}

// dropOutdated removes calls from the queue that are done, and skips those whose decision is too old or whose client has
// left.
func (k *conn) dropOutdated(now float64) {
	k.queue = slices.DeleteFunc(k.queue, func(c *call) bool {
		expired := c.attempt.SendBy > 0 && now > c.attempt.SendBy
		if !c.done && (expired || c.attempt.ClientGone != nil && c.attempt.ClientGone()) {
			c.done = true
			delete(k.calls, c.attempt.ID)
			go c.finish(core.Outcome{Result: policy.Skipped})
		}
		return c.done
	})
}

// recordWritten marks the first n bytes of the buffer as written. A frame that is written in part is kept as the partial
// frame, since the rest must follow.
func (k *conn) recordWritten(n int, frameEnds []int, now float64) {
	if n < frameEnds[0] {
		k.partialFrame = k.buffer[n:frameEnds[0]]
		return
	}
	k.partialFrame, k.partialCall = nil, nil
	for i, c := range k.queue {
		if n <= frameEnds[i] {
			k.queue = slices.Delete(k.queue, 0, i)
			return
		}
		c.written, c.sentAt, c.attempt.Body = true, now, nil
		if n < frameEnds[i+1] {
			k.partialFrame, k.partialCall = k.buffer[n:frameEnds[i+1]], c
			k.queue = slices.Delete(k.queue, 0, i+1)
			return
		}
	}
	k.queue = k.queue[:0]
	if last := frameEnds[len(frameEnds)-1]; n > last {
		k.partialFrame, k.aborts = k.buffer[n:], k.aborts[:0]
	}
}

// writeFailed records that nothing more can be written, and reports whether the reader has ended too. A call that was
// written in part has not run: it must not count as one that may have been executed.
func (k *conn) writeFailed() (done bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closing = true; k.partialCall != nil && !k.partialCall.done {
		k.partialCall.written = false
	}
	return k.broken
}
