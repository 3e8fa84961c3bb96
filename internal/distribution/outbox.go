package distribution

import (
	"sync"
	"time"

	"ravenwheel/internal/store"
)

// Bounds of one link. The machines bound by credit what is under way in batches and chunks; what is beside that is small.
const (
	// mostWaiting frames and mostWaitingBytes wait on a link: a peer that reads nothing, and says that it lives, is given up.
	mostWaiting      = 8192
	mostWaitingBytes = 2 << 20
	// sendFor is how long a peer may take to read a frame of 32 KB: 1 KB a second is enough.
	sendFor = 40 * time.Second
	// finishFor is how long what was sent may still take to leave on a link that is ended.
	finishFor = time.Second
)

// outbox is the sending half of a link, with a goroutine that writes. It never has its caller wait.
type outbox struct {
	link *store.Link

	mu     sync.Mutex
	frames [][]byte
	bytes  int
	ended  bool
	wake   chan struct{}
	done   <-chan struct{}
}

// newOutbox starts to write, in a goroutine of a group, until the link is ended or done is closed.
func newOutbox(l *store.Link, group *sync.WaitGroup, done <-chan struct{}) *outbox {
	o := &outbox{link: l, wake: make(chan struct{}, 1), done: done}
	group.Go(func() {
		defer l.Close()
		for o.next() {
			for {
				frame, some := o.take()
				if !some {
					break
				}
				o.wrote(len(frame), l.Send(frame, sendFor))
			}
		}
	})
	return o
}

// send has a frame written behind those before it. The frame is not changed and not kept any longer.
func (o *outbox) send(frame []byte) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	if len(o.frames) >= mostWaiting || o.bytes > mostWaitingBytes {
		o.ended, o.frames, o.bytes = true, nil, 0
		o.link.Close()
	} else {
		o.frames = append(o.frames, frame)
		o.bytes += len(frame)
	}
	o.signal()
}

// end ends the link after what was sent on it.
func (o *outbox) end() {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.ended {
		return
	}
	o.ended = true
	time.AfterFunc(finishFor, o.link.Close) // of the socket, as its deadlines are
	o.signal()
}

// waiting is how many bytes have not been written.
func (o *outbox) waiting() int {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.bytes
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// next waits for something to do; it returns false once the link is ended and all is written.
func (o *outbox) next() bool {
	o.mu.Lock()
	over := o.ended && len(o.frames) == 0
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

func (o *outbox) take() (frame []byte, some bool) {
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
func (o *outbox) wrote(bytes int, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.bytes = max(0, o.bytes-bytes)
	if err != nil {
		o.ended, o.frames, o.bytes = true, nil, 0
	}
}
