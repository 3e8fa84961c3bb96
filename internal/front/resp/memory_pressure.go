package resp

import "ravenwheel/internal/memory"

// equalShare returns how much memory a connection may hold while memory is scarce: an equal part of what requests and answers may
// have, for each connection that holds any. Called without the front's lock.
func (f *Front) equalShare() int64 {
	most := f.memory.Share(memory.Requests) + f.memory.Share(memory.Answers)
	return most / max(1, f.holders.Load())
}

// CostliestStalledClient is a memory.StalledClient.
func (f *Front) CostliestStalledClient() (bytes int64, closeConn func()) {
	now := f.clock.Now()
	f.mu.Lock()
	defer f.mu.Unlock()
	for c := range f.conns {
		if c.client == nil || c.client.writingFor(now) < stalledWriteTime {
			continue
		}
		if held := c.client.held(); held > bytes {
			bytes, closeConn = held, func() { c.abortFor(ClosedForMemory) }
		}
	}
	return bytes, closeConn
}

// held returns how much memory is reserved for the client's open requests and answers.
func (cl *client) held() int64 {
	cl.mu.Lock()
	defer cl.mu.Unlock()
	return cl.heldBytes
}
