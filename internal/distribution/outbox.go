package distribution

import (
	"sync"
	"time"

	"ravenwheel/internal/memory"
	"ravenwheel/internal/store"
)

// Bounds of one link. The machines' credit bounds the bytes of batches and chunks in flight; other frames are small.
const (
	// maxQueuedFrames and maxQueuedBytes bound the queue of a link, so that a peer that sends keepalives but reads nothing is
	// disconnected.
	maxQueuedFrames = 8192
	maxQueuedBytes  = 2 << 20
	// writeTimeout bounds the time to write a frame. A peer that reads 1 KB a second is fast enough for a frame of 32 KB.
	writeTimeout = 40 * time.Second
	// linkBytes is the cost of an accepted link in bytes: its TLS state, its buffers and its goroutines.
	linkBytes = 64 << 10
	// flushTimeout bounds the time to write the frames that are queued when a link is closed.
	flushTimeout = time.Second
)

// outbox is the sending half of a link, with a goroutine that writes the queued frames. send and close never block.
type outbox struct {
	link   *store.Link
	memory *memory.Account
	wake   chan struct{}   // signals that there may be a frame to write, or that the outbox was closed
	done   <-chan struct{} // closed when the node ends

	mu         sync.Mutex
	frames     [][]byte
	queuedSize int // bytes of the queued frames, and of the frame that is being written
	closed     bool
}

// newOutbox returns an outbox for a link. Its goroutine, of the given group, writes until the outbox or done is closed.
func newOutbox(l *store.Link, group *sync.WaitGroup, done <-chan struct{}, account *memory.Account) *outbox {
	o := &outbox{link: l, memory: account, wake: make(chan struct{}, 1), done: done}
	group.Go(func() {
		defer l.Close()
		defer o.drop()
		for o.waitForWork() {
			for {
				frame, ok := o.pop()
				if !ok {
					break
				}
				o.recordWrite(len(frame), l.Send(frame, writeTimeout))
			}
		}
	})
	return o
}

// send queues a frame, which the caller must not change afterwards. If the queue is full, or there is no memory for the frame, the
// link is closed.
func (o *outbox) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	full := len(o.frames) >= maxQueuedFrames || o.queuedSize > maxQueuedBytes
	if full || !o.memory.TryReserve(memory.Services, int64(len(frame))) {
		o.closeAndDrop()
		o.link.Close()
	} else {
		o.frames = append(o.frames, frame)
		o.queuedSize += len(frame)
	}
	o.signal()
}

// closeAndDrop closes the queue and drops its frames. The caller holds the lock.
func (o *outbox) closeAndDrop() {
	o.memory.Release(memory.Services, int64(o.queuedSize))
	o.closed, o.frames, o.queuedSize = true, nil, 0
}

// drop ends the outbox's use of memory.
func (o *outbox) drop() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closeAndDrop()
}

// close closes the link after the queued frames are written, or after flushTimeout.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	time.AfterFunc(flushTimeout, o.link.Close) // by the system's clock, like the deadlines of sockets
	o.signal()
}

// queuedBytes returns how many bytes are not written yet.
func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedSize
}

// signal wakes the goroutine that writes.
func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// waitForWork waits until there may be a frame to write. It returns false once the outbox is closed and all frames are written, or the
// node ends.
func (o *outbox) waitForWork() bool {
	o.mu.Lock()
	finished := o.closed && len(o.frames) == 0
	o.mu.Unlock()
	if finished {
		return false
	}
	select {
	case <-o.wake:
		return true
	case <-o.done:
		return false
	}
}

// pop removes the first queued frame and returns it.
func (o *outbox) pop() (frame []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) == 0 {
		return nil, false
	}
	frame = o.frames[0]
	o.frames[0] = nil // so that the frame can be freed while the slice's array is still in use
	o.frames = o.frames[1:]
	return frame, true
}

// recordWrite records that a frame was written. After an error it closes the queue and drops its frames.
func (o *outbox) recordWrite(bytes int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	bytes = min(bytes, o.queuedSize)
	o.queuedSize -= bytes
	o.memory.Release(memory.Services, int64(bytes))
	if err != nil {
		o.closeAndDrop()
	}
}
