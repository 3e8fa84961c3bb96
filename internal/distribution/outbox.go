package distribution

import (
	"sync"
	"time"

	"ravenwheel/internal/store"
)

// Bounds of one link. The machines bound by credit what is in flight in batches and chunks; other frames are small.
const (
	// maxQueuedFrames and maxQueuedBytes bound what is queued on a link: a peer that sends keepalives and reads nothing is
	// disconnected.
	maxQueuedFrames = 8192
	maxQueuedBytes  = 2 << 20
	// writeTimeout is how long a peer may take to read a frame of 32 KB: 1 KB a second is enough.
	writeTimeout = 40 * time.Second
	// flushTimeout is how long the frames that are queued when a link is closed may take to be written.
	flushTimeout = time.Second
)

// outbox is the sending half of a link, with a goroutine that writes. Its methods never block.
type outbox struct {
	link *store.Link
	wake chan struct{}   // there may be something to do
	done <-chan struct{} // closed when the node ends

	mu         sync.Mutex
	frames     [][]byte
	queuedSize int // bytes of the frames, and of the one that is being written
	closed     bool
}

// newOutbox starts to write, in a goroutine of a group, until the outbox or done is closed.
func newOutbox(l *store.Link, group *sync.WaitGroup, done <-chan struct{}) *outbox {
	o := &outbox{link: l, wake: make(chan struct{}, 1), done: done}
	group.Go(func() {
		defer l.Close()
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

// send queues a frame, which is not changed. A link whose queue is full is closed.
func (o *outbox) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	if len(o.frames) >= maxQueuedFrames || o.queuedSize > maxQueuedBytes {
		o.closeAndDrop()
		o.link.Close()
	} else {
		o.frames = append(o.frames, frame)
		o.queuedSize += len(frame)
	}
	o.signal()
}

// closeAndDrop closes the queue and drops its frames. The caller holds the lock.
func (o *outbox) closeAndDrop() { o.closed, o.frames, o.queuedSize = true, nil, 0 }

// close closes the link after the frames that are queued, or after flushTimeout.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	time.AfterFunc(flushTimeout, o.link.Close) // by the system's clock, as the deadlines of sockets are
	o.signal()
}

// queuedBytes returns how many bytes have not been written.
func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queuedSize
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// waitForWork waits for something to do. It returns false once the link is closed and everything is written.
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

func (o *outbox) pop() (frame []byte, ok bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) == 0 {
		return nil, false
	}
	frame = o.frames[0]
	o.frames[0] = nil // so that the frame can be freed while the array is in use
	o.frames = o.frames[1:]
	return frame, true
}

// recordWrite records that a frame was written. After an error the queue is dropped.
func (o *outbox) recordWrite(bytes int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queuedSize = max(0, o.queuedSize-bytes)
	if err != nil {
		o.closeAndDrop()
	}
}
