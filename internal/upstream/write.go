package upstream

import (
	"cmp"
	"net"
	"slices"
	"syscall"
	"time"

	"ravenwheel/internal/core"
	"ravenwheel/internal/memory"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// writeTimeout is how long a connection may accept no bytes before it is treated as broken.
const writeTimeout = 3 * time.Second

// run is the connection's writer. It returns when the connection is closed and all its calls have ended.
func (cn *conn) run() {
	dialledAt := cn.now()
	nc, err := cn.dial()
	var raw syscall.RawConn
	if err == nil {
		raw, err = rawSocket(nc)
	}
	if err != nil {
		result := cn.dialFailure(err, dialledAt)
		cn.endCalls(result, result)
		return
	}
	cn.mu.Lock()
	cn.socket = nc
	cn.mu.Unlock()
	go cn.readAnswers(nc)
	cn.writeUntilClosed(nc, raw)
	nc.Close()
	// Calls that were not written were not executed, and their failure says nothing about the server.
	cn.endCalls(policy.Reset, policy.Skipped)
}

// writeUntilClosed writes the pending frames whenever the writer is signalled. It returns when the connection is to be closed.
func (cn *conn) writeUntilClosed(nc net.Conn, raw syscall.RawConn) {
	idleTimeout := cn.limits().IdleTimeout
	stopIdleTimer := func() {}
	for range cn.wake {
		var done bool
		var writeErr error
		err := raw.Write(func(fd uintptr) (all bool) {
			_ = nc.SetWriteDeadline(time.Now().Add(writeTimeout)) // counted from the last write that made progress
			all, done, writeErr = cn.writePending(int(fd))
			return all
		})
		if cmp.Or(err, writeErr) != nil {
			nc.Close() // ends the reader
			done = cn.writeFailed()
		}
		stopIdleTimer()
		if done {
			return
		}
		if idleTimeout > 0 {
			stopIdleTimer = cn.pool.pools.clock.After(idleTimeout*idleCloseFraction+idleTimerMargin, cn.signal)
		}
	}
}

// writePending writes the pending frames as far as the socket accepts them. all is false if the socket accepts no more for now.
// done reports that the connection is to be closed. The calls to write are chosen under the lock at the moment of writing: a call
// that was abandoned, or whose SendBy passed, while the connection was dialled or blocked is never written.
func (cn *conn) writePending(fd int) (all, done bool, err error) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	for {
		if cn.broken {
			return true, true, nil
		}
		now := cn.now()
		cn.dropOutdated(now)
		frameEnds := cn.fillBuffer(now)
		if len(cn.buffer) == 0 {
			if cn.bufferMemory > 0 {
				cn.dropBuffer()
			}
			break
		}
		n, err := cn.limits().Write(fd, cn.buffer)
		cn.recordWritten(max(0, n), frameEnds, now)
		switch {
		case err == syscall.EAGAIN: // the poller reports when the socket accepts more only after EAGAIN
			return false, false, nil
		case err != nil && err != syscall.EINTR:
			return true, false, err
		}
	}
	now := cn.now()
	if len(cn.calls) > 0 {
		cn.lastUsed = now
	} else if idleTimeout := cn.limits().IdleTimeout; idleTimeout > 0 && now-cn.lastUsed >= idleTimeout*idleCloseFraction {
		cn.closing = true // before the server closes the connection while a new call is being written
	}
	return true, cn.closing && len(cn.calls) == 0, nil
}

// fillBuffer fills the buffer with the rest of a partial frame and the frames of the queued calls and of the aborts, up to
// maxWriteBytes or at least one frame. frameEnds has the offsets at which the partial frame and each call's frame end. A call for
// whose frame there is no memory is skipped.
func (cn *conn) fillBuffer(now float64) (frameEnds []int) {
	cn.buffer = append(cn.buffer[:0], cn.partialFrame...)
	frameEnds = []int{len(cn.buffer)}
	for len(frameEnds) <= len(cn.queue) {
		if len(cn.buffer) >= maxWriteBytes {
			return frameEnds
		}
		c := cn.queue[len(frameEnds)-1]
		if !cn.reserveBuffer(len(cn.buffer) + len(c.attempt.Body) + frameCapacity) {
			cn.skip(c)
			continue
		}
		cn.buffer = appendFrame(cn.buffer, &c.attempt, now)
		frameEnds = append(frameEnds, len(cn.buffer))
	}
	for _, id := range cn.aborts {
		cn.buffer = resp.AppendFrame(cn.buffer, "abort", id)
	}
	return frameEnds
}

// reserveBuffer reserves the memory of a buffer of the given size.
func (cn *conn) reserveBuffer(size int) bool {
	more := int64(size) - smallBufferBytes - cn.bufferMemory
	if more <= 0 {
		return true
	}
	if !cn.limits().Memory.TryReserve(memory.ServerConns, more) {
		return false
	}
	cn.bufferMemory += more
	return true
}

// dropBuffer releases the buffer and its memory. Called with the lock held.
func (cn *conn) dropBuffer() {
	cn.limits().Memory.Release(memory.ServerConns, cn.bufferMemory)
	cn.buffer, cn.bufferMemory = nil, 0
}

// skip ends a queued call, and removes it from the queue. Called with the lock held.
func (cn *conn) skip(c *call) {
	cn.finish(c)
	go c.reportOutcome(core.Outcome{Result: policy.Skipped})
}

// dropOutdated skips queued calls whose SendBy has passed or whose client has left.
func (cn *conn) dropOutdated(now float64) {
	for i := 0; i < len(cn.queue); {
		c := cn.queue[i]
		expired := c.attempt.SendBy > 0 && now > c.attempt.SendBy
		if expired || c.attempt.ClientGone != nil && c.attempt.ClientGone() {
			cn.skip(c) // the next call takes its place in the queue
		} else {
			i++
		}
	}
}

// recordWritten marks the first n bytes of the buffer as written. The rest of a partly written frame is kept as the partial frame,
// since it must be written next.
func (cn *conn) recordWritten(n int, frameEnds []int, now float64) {
	if n < frameEnds[0] {
		cn.partialFrame = cn.buffer[n:frameEnds[0]]
		return
	}
	cn.partialFrame, cn.partialCall = nil, nil
	encoded := len(frameEnds) - 1
	for i, c := range cn.queue[:encoded] {
		if n <= frameEnds[i] {
			cn.queue = slices.Delete(cn.queue, 0, i)
			return
		}
		c.written, c.sentAt, c.attempt.Body = true, now, nil
		if n < frameEnds[i+1] {
			cn.partialFrame, cn.partialCall = cn.buffer[n:frameEnds[i+1]], c
			cn.queue = slices.Delete(cn.queue, 0, i+1)
			return
		}
	}
	cn.queue = slices.Delete(cn.queue, 0, encoded)
	if last := frameEnds[len(frameEnds)-1]; n > last {
		cn.partialFrame, cn.aborts = cn.buffer[n:], cn.aborts[:0]
	}
}

// writeFailed records that nothing more can be written, and reports whether the reader has ended too. A call that was written only
// in part was not executed, so it must not count as written.
func (cn *conn) writeFailed() (done bool) {
	cn.mu.Lock()
	defer cn.mu.Unlock()
	if cn.closing = true; cn.partialCall != nil && !cn.partialCall.done {
		cn.partialCall.written = false
	}
	return cn.broken
}
