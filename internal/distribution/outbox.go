package distribution

import (
	"sync"
	"time"

	"ravenwheel/internal/store"
)

// Bounds of one link. The machines bound by credit what is under way in batches and chunks; what is beside that is small.
const (
	// mostWaiting frames and mostWaitingBytes wait on a link: a peer that reads nothing, and says that it lives, is given up.
	maxQueuedFrames = 8192
	maxQueuedBytes  = 2 << 20
	// sendFor is how long a peer may take to read a frame of 32 KB: 1 KB a second is enough.
	writeTimeout = 40 * time.Second
	// finishFor is how long what was sent may still take to leave on a link that is ended.
	flushTimeout = time.Second
)

// outbox is the sending half of a link, with a goroutine that writes. It never has its caller wait.
type outbox struct {
	link *store.Link

	mu     sync.Mutex
	frames [][]byte
	queued int
	closed bool
	wake   chan struct{}
	done   <-chan struct{}
}

// newOutbox starts to write, in a goroutine of a group, until the link is ended or done is closed.
func newOutbox(l *store.Link, group *sync.WaitGroup, done <-chan struct{}) *outbox {
	o := &outbox{link: l, wake: make(chan struct{}, 1), done: done}
	group.Go(func() {
		defer l.Close()
		for o.wait() {
			for {
				frame, some := o.pop()
				if !some {
					break
				}
				o.written(len(frame), l.Send(frame, writeTimeout))
			}
		}
	})
	return o
}

// send has a frame written behind those before it. The frame is not changed and not kept any longer.
func (o *outbox) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	if len(o.frames) >= maxQueuedFrames || o.queued > maxQueuedBytes {
		o.closed, o.frames, o.queued = true, nil, 0
		o.link.Close()
	} else {
		o.frames = append(o.frames, frame)
		o.queued += len(frame)
	}
	o.signal()
}

// end ends the link after what was sent on it.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return
	}
	o.closed = true
	time.AfterFunc(flushTimeout, o.link.Close) // of the socket, as its deadlines are
	o.signal()
}

// waiting is how many bytes have not been written.
func (o *outbox) queuedBytes() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.queued
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// next waits for something to do; it returns false once the link is ended and all is written.
func (o *outbox) wait() bool {
	o.mu.Lock()
	over := o.closed && len(o.frames) == 0
	o.mu.Unlock()
	if over {
		return false
	}
	select {
	case <-o.wake:
		return true
	case <-o.done:
		return false
	}
}

func (o *outbox) pop() (frame []byte, some bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.frames) == 0 {
		return nil, false
	}
	frame = o.frames[0]
	o.frames[0] = nil // let go of, though the slice goes on
	o.frames = o.frames[1:]
	return frame, true
}

// wrote books that a frame has left, or that nothing does any more.
func (o *outbox) written(bytes int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.queued = max(0, o.queued-bytes)
	if err != nil {
		o.closed, o.frames, o.queued = true, nil, 0
	}
}
