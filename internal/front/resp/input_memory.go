package resp

import "ravenwheel/internal/memory"

// reserveInput reserves memory for a partial frame. If there is none, the partial frame that began first is dropped: what follows of
// it will be skipped, and its request refused. Frames that arrive fast never wait for those that arrive slowly.
func (c *conn) reserveInput(bytes int) bool {
	for !c.tryReserveInput(int64(bytes)) {
		victim := c.front.lockOldestPartial(c)
		if victim == nil {
			return false
		}
		_ = victim.frames.Skip() // what was stored is well-formed
		victim.framesMu.Unlock()
	}
	return true
}

func (c *conn) tryReserveInput(bytes int64) bool {
	f := c.front
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.memory.TryReserve(memory.Input, bytes) {
		return false
	}
	c.inputBytes += bytes
	if c.stored == nil {
		c.stored = f.storedPartials.PushBack(c)
	}
	return true
}

// lockOldestPartial locks the frames of the connection, other than c, that has held memory for a partial frame for longest, leaving
// out those that are being read. It returns nil if there is none.
func (f *Front) lockOldestPartial(c *conn) *conn {
	f.mu.Lock()
	defer f.mu.Unlock()
	for element := f.storedPartials.Front(); element != nil; element = element.Next() {
		if other := element.Value.(*conn); other != c && other.framesMu.TryLock() {
			return other
		}
	}
	return nil
}

// releaseInput releases what is reserved for a partial frame.
func (c *conn) releaseInput(int) {
	c.front.mu.Lock()
	defer c.front.mu.Unlock()
	c.front.memory.Release(memory.Input, c.inputBytes)
	c.inputBytes = 0
	if c.stored != nil {
		c.front.storedPartials.Remove(c.stored)
		c.stored = nil
	}
}
