package resp

import (
	"context"
	"errors"
	"net"
	"sync"

	"github.com/tidwall/redcon"

	"ravenwheel/internal/core"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
)

// client is one connection. Its writer sends what answers have put into the one out buffer.
type client struct {
	front *Front
	nc    *guard

	mu     sync.Mutex
	out    []byte
	open   map[string]context.CancelFunc // by tag
	calls  []call                        // of the reader alone: read, and not begun
	since  float64                       // when the first of these was read
	writes float64                       // since when the writer has been about what is written now; 0: it is not
	closed bool
	wake   chan struct{}
}

// live reads a connection's commands until it ends, which gives up all that is open on it.
func (c *client) live(dc redcon.DetachedConn, cmd redcon.Command) {
	ctx, leave := context.WithCancel(context.Background())
	go c.write()
	err := error(nil)
	for err == nil {
		if err = c.command(ctx, cmd.Args); err == nil {
			if len(c.calls) > 0 && (len(c.calls) >= mostOpen || c.front.clock.Now()-c.since >= beginWithin) {
				c.begin() // a client that never stops to send
			}
			cmd, err = dc.ReadCommand()
		}
	}
	leave()
	c.begin() // each has to end, as any whose client has left
	c.nc.finish()
	c.close()
}

var errTag = errors.New("a tag that can't be answered")

func (c *client) command(ctx context.Context, args [][]byte) error {
	if len(args) < 2 || !isTag(args[1]) {
		return errTag
	}
	tag := string(args[1])
	switch string(args[0]) {
	case "RPC.CALL":
		return c.call(ctx, tag, args[2:])
	case "RPC.CANCEL":
		c.mu.Lock()
		if cancel := c.open[tag]; cancel != nil {
			cancel()
		}
		c.mu.Unlock()
	case "RPC.HEALTH":
		if c.front.takes.Load() {
			c.send(word(tag, "yes"))
		} else {
			c.send(word(tag, "no"))
		}
	default:
		c.send(word(tag, "fault"))
	}
	return nil
}

// call opens a request, which begins once all that has come is read.
func (c *client) call(ctx context.Context, tag string, args [][]byte) error {
	now, plan := c.front.clock.Now(), c.front.plan.Load()
	q, ok := readCall(args, now, c.front.core)
	q.Deadline = plan.Deadline(q.Deadline)
	ctx, cancel := context.WithCancel(ctx)
	c.mu.Lock()
	if c.closed {
		c.mu.Unlock()
		cancel()
		return net.ErrClosed
	}
	used, full := c.open[tag] != nil, len(c.open) >= mostOpen
	if !used && !full && ok {
		c.open[tag] = cancel
	}
	c.mu.Unlock()
	switch {
	case used: // an answer of ours would be a second one under this tag
		cancel()
		return errTag
	case full || !ok:
		cancel()
		c.send(word(tag, "fault"))
		return nil
	case !plan.AcceptsRequest(now) || q.Deadline <= now:
		c.mu.Lock()
		delete(c.open, tag)
		c.mu.Unlock()
		cancel()
		c.send(func(b []byte) []byte { return appendAnswer(b, tag, c.front.core.Reject()) })
		return nil
	}
	c.front.busy.Add(1)
	q.ClientGone = c.nc.left
	if len(c.calls) == 0 {
		c.since = now
	}
	c.calls = append(c.calls, call{ctx, cancel, tag, q})
	return nil
}

// begin has the requests that were read live, each in a goroutine of its own. It is called once nothing more has come. Guards
// against a leave that is right behind a request: an attempt would begin for a client that has gone.
func (c *client) begin() {
	for _, k := range c.calls {
		go c.lives(k)
	}
	clear(c.calls)
	c.calls = c.calls[:0]
}

// lives answers one request.
func (c *client) lives(k call) {
	defer c.front.busy.Add(-1)
	defer k.cancel()
	a := c.front.core.Do(k.ctx, k.q)
	c.mu.Lock()
	invariant.Check(c.open[k.tag] != nil, "a tag is answered once")
	delete(c.open, k.tag)
	c.mu.Unlock()
	if a.Verdict != core.Abandoned {
		c.send(func(b []byte) []byte { return appendAnswer(b, k.tag, a) })
	}
}

// word is an answer that is no more than that.
func word(tag, w string) func([]byte) []byte {
	return func(b []byte) []byte { return resp.AppendFrame(b, tag, w) }
}

// send adds one whole answer to the out buffer and wakes the writer.
func (c *client) send(add func([]byte) []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	before := len(c.out)
	if before > mostOut {
		go c.nc.shut() // reads nothing: the reader sees the end
		return
	}
	c.out = add(c.out)
	c.front.busy.Add(int64(len(c.out) - before))
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// due is all that waits to be written, and notes since when it is. Called under the client's lock.
func (c *client) due() []byte {
	if c.writes = 0; len(c.out) > 0 {
		c.writes = c.front.clock.Now()
	}
	return c.out[:len(c.out):len(c.out)]
}

// blocked tells whether what is written has not been taken for too long.
func (c *client) blocked(now float64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes > 0 && now-c.writes >= takeWithin
}

func (c *client) write() {
	for range c.wake {
		c.mu.Lock()
		b := c.due()
		c.mu.Unlock()
		for len(b) > 0 {
			if _, err := c.nc.Write(b); err != nil {
				c.nc.shut()
				return
			}
			// Compacted in place: what came meanwhile moves to the front.
			c.mu.Lock()
			if c.closed {
				c.mu.Unlock()
				return
			}
			c.front.busy.Add(-int64(len(b)))
			c.out = c.out[:copy(c.out, c.out[len(b):])]
			b = c.due()
			if len(b) == 0 && cap(c.out) > keepOut {
				c.out = nil // a burst is over: its memory goes back
			}
			c.mu.Unlock()
		}
		c.front.answered(c)
	}
}

func (c *client) close() {
	c.mu.Lock()
	c.closed = true
	c.front.busy.Add(-int64(len(c.out)))
	c.out = nil
	close(c.wake)
	c.mu.Unlock()
	c.nc.shut()
}
