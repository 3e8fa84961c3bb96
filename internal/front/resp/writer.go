package resp

// send appends one complete answer to the output and wakes the writer. A client that leaves too many bytes of answers unread is
// disconnected.
func (cl *client) send(appendTo func([]byte) []byte) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return
	}
	before := len(cl.output)
	if before > maxOutBytes {
		go cl.conn.abort() // the reading goroutine then fails to read, and closes the client
		return
	}
	cl.output = appendTo(cl.output)
	cl.front.pendingWork.Add(int64(len(cl.output) - before))
	select {
	case cl.wake <- struct{}{}:
	default:
	}
}

// writeLoop writes answers until the client is closed or writing fails.
func (cl *client) writeLoop() {
	for range cl.wake {
		cl.mu.Lock()
		bytes := cl.nextWrite()
		cl.mu.Unlock()
		for len(bytes) > 0 {
			if _, err := cl.conn.Write(bytes); err != nil {
				cl.conn.abort()
				return
			}
			var open bool
			if bytes, open = cl.removeWritten(len(bytes)); !open {
				return
			}
		}
		cl.front.closeIfDrained(cl)
	}
}

// removeWritten removes the first n bytes of the output, in place, and returns what is to be written next. open is false once the
// client is closed.
func (cl *client) removeWritten(n int) (next []byte, open bool) {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	if cl.closed {
		return nil, false
	}
	cl.front.pendingWork.Add(-int64(n))
	cl.output = cl.output[:copy(cl.output, cl.output[n:])]
	next = cl.nextWrite()
	if len(next) == 0 && cap(cl.output) > maxIdleOutBytes {
		cl.output = nil
	}
	return next, true
}

// nextWrite returns the whole output, and records when writing it begins. Called with the client's lock held.
func (cl *client) nextWrite() []byte {
	cl.writingSince = 0
	if len(cl.output) > 0 {
		cl.writingSince = cl.front.clock.Now()
	}
	return cl.output[:len(cl.output):len(cl.output)]
}

// writeTimedOut reports whether the write in progress has waited too long for the client to read.
func (cl *client) writeTimedOut(now float64) bool {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.writingSince > 0 && now-cl.writingSince >= writeTimeout
}
