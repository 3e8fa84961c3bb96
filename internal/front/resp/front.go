// Package resp speaks the platform's protocol with clients: RESP arrays, many requests open on a
// connection, answers in any order. It is thin: what becomes of a request is the core's to say.
package resp

import (
	"cmp"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/tidwall/redcon"
	"golang.org/x/sys/unix"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/drain"
	"ravenwheel/internal/invariant"
	"ravenwheel/internal/resp"
	"ravenwheel/policy"
)

// Doer lives a request from its arrival to its one final answer.
type Doer interface {
	Do(context.Context, core.Request) core.Answer
	ClassOf(name string) int
	Settings() policy.Settings
	Unanswered()         // a connection was closed by the front before it had any answer
	Refuse() core.Answer // a request that comes while the proxy is emptied
}

const (
	mostOpen = 32 // requests on one connection
	// mostOut bounds what waits for a slow reader: as much as a full connection may be owed.
	mostOut = mostOpen * (240_000 + 1024)
	// keepOut: an out buffer that has grown beyond this is given back once it is empty.
	keepOut = 256 << 10
	// keepIn: a read buffer that has grown beyond this is given back once it is empty.
	keepIn = 8 << 10
	// silentFor: a connection that has sent nothing, or no more than half a frame, for so many ms is closed.
	silentFor, sweepEvery = 1500, 250
	// emptyEvery: so often it is looked, while the proxy is emptied, which connections are at rest, in ms. lingerFor: a
	// client that was told that its connection ends, and does not end it, has that long. leavingShare: one in so many
	// places may be held by such beyond those that are served.
	emptyEvery   = 10
	lingerFor    = 1000
	leavingShare = 8
	// acceptPause: after an accept that failed, out of descriptors say, the next one waits so long.
	acceptPause = 10
	// newFor: one that is silent for so many ms is no client on the point of asking.
	newFor = 100
	// takeWithin: a client that has not taken what was written for it so many ms ago has given up all that it waited for.
	// It is seen by the sweep, at most sweepEvery later.
	takeWithin = 10_000
)

// Front serves clients on one listener.
type Front struct {
	clock *clock.Clock
	core  Doer
	most  atomic.Int64
	busy  atomic.Int64 // requests open and bytes not yet written
	takes atomic.Bool  // whoever asks is told that work is taken
	plan  atomic.Pointer[drain.Plan]
	srv   *redcon.Server
	ln    net.Listener

	mu      sync.Mutex
	conns   map[*guard]struct{}
	leaving []*guard      // those of them that end, the longest first
	cut     []*guard      // no longer of them: their sockets are about to be closed
	closing int           // how many have left the books and still have a descriptor
	closed  sync.Cond     // one of those was closed; under mu
	halted  chan struct{} // closed once connections are accepted again; nil: they are
}

// New returns a front on ln that holds at most so many connections.
func New(ln net.Listener, most int, c *clock.Clock, d Doer) *Front {
	f := &Front{clock: c, core: d, ln: ln, conns: map[*guard]struct{}{}}
	f.closed.L = &f.mu
	f.most.Store(int64(most))
	f.takes.Store(true)
	f.plan.Store(&drain.Plan{})
	f.srv = redcon.NewServer(ln.Addr().String(), f.first, nil, nil)
	return f
}

// Serve accepts connections until Close.
func (f *Front) Serve() error {
	f.clock.After(sweepEvery, f.sweep)
	return f.srv.Serve(guarded{f.ln, f})
}

// Close stops accepting; connections that are open go on.
func (f *Front) Close() error {
	err := f.ln.Close()
	f.Accepting(true) // whoever waits to accept sees the end
	return err
}

// SetMost changes how many connections are held. Those that are open stay.
func (f *Front) SetMost(n int) { f.most.Store(int64(n)) }

// Addr is where it listens.
func (f *Front) Addr() string { return f.ln.Addr().String() }

// Held is how many connections are open.
func (f *Front) Held() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.conns)
}

// Takes sets what whoever asks is told: whether the proxy takes work.
func (f *Front) Takes(yes bool) { f.takes.Store(yes) }

// Accepting has new connections accepted, or left to another process that holds the same listener.
func (f *Front) Accepting(on bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ln, ok := f.ln.(*net.TCPListener)
	switch {
	case on && f.halted != nil:
		if ok {
			_ = ln.SetDeadline(time.Time{})
		}
		close(f.halted)
		f.halted = nil
	case !on && f.halted == nil && ok:
		f.halted = make(chan struct{})
		_ = ln.SetDeadline(time.Unix(1, 0)) // ends the accept that waits
	}
}

func (f *Front) halt() chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.halted
}

// Empty has connections treated as a plan says, until the next one.
func (f *Front) Empty(p drain.Plan) {
	if was := f.plan.Swap(&p); p.On && !was.On {
		f.clock.After(emptyEvery, f.empty)
	}
}

// empty ends the connections that the plan ends.
func (f *Front) empty() {
	p := f.plan.Load()
	if !p.On {
		return
	}
	f.clock.After(emptyEvery, f.empty)
	now := f.clock.Now()
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	for g := range f.conns {
		f.rest(g, now, p)
	}
}

// rest ends a connection if the plan says so. Called under the front's lock.
func (f *Front) rest(g *guard, now float64, p *drain.Plan) {
	if g.stage == serving && p.Ends(now, g.facts(now)) && g.leave() {
		f.end(g)
	}
}

// answered looks at a connection whose last answer was just written, once requests are refused. Guards against a client
// that asks again at once, for seconds: it is never found at rest between.
func (f *Front) answered(c *client) {
	p, now := f.plan.Load(), f.clock.Now()
	if p.Hears(now) {
		return
	}
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.rest(c.nc, now, p)
}

// sweep ends the connections that have said nothing, or half of a frame, for too long, and those whose clients take
// nothing of what they are owed: their readers end the rest.
func (f *Front) sweep() {
	f.clock.After(sweepEvery, f.sweep)
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.clock.Now()
	for g := range f.conns {
		switch {
		case g.client != nil && g.client.blocked(now):
			go g.shut()
		case (!g.asked || g.half) && now-g.since >= silentFor && g.leave():
			f.dismiss(g)
		}
	}
}

// admit books a new connection. Guards against hundreds that say nothing, or asked once and stay: when all
// places are taken, one makes room, but never one that is owed an answer.
func (f *Front) admit(nc net.Conn) (*guard, bool) {
	g := &guard{Conn: nc, front: f, since: f.clock.Now()}
	g.buf.Most, g.buf.Keep = resp.MostAsked, keepIn
	defer f.closeCut()
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.conns)-len(f.leaving) >= int(f.most.Load()) && !f.shed() {
		return nil, false
	}
	f.conns[g] = struct{}{}
	return g, true
}

// shed ends the connection that has been silent for longest, else the one idle for longest; last come those
// that are too new to have asked.
func (f *Front) shed() bool {
	rank := func(g *guard) int {
		switch {
		case g.asked:
			return 1
		case f.clock.Now()-g.since >= newFor:
			return 0
		}
		return 2
	}
	order := slices.SortedFunc(maps.Keys(f.conns), func(a, b *guard) int {
		return cmp.Or(rank(a)-rank(b), cmp.Compare(a.since, b.since))
	})
	for _, g := range order {
		if g.leave() {
			f.dismiss(g)
			return true
		}
	}
	return false
}

// dismiss ends a connection that was left for want of a request or of a place. Called under the front's lock.
func (f *Front) dismiss(g *guard) {
	if !g.asked {
		f.core.Unanswered()
	}
	f.end(g)
}

// end tells a client that its connection, which was left, ends: its own end is waited for while what it still sends is
// read and dropped. Guards against a close over unread bytes, which resets the connection: what a slow reader has not
// taken yet would be thrown away, and a request that crosses the close would look lost. Called under the front's lock.
func (f *Front) end(g *guard) {
	f.leaving = append(f.leaving, g)
	for len(f.leaving) > 1+int(f.most.Load())/leavingShare {
		longest := f.leaving[0] // it has had the longest to end by itself
		if longest.forget() {
			f.cut = append(f.cut, longest)
		}
	}
	go func() {
		if half, ok := g.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
			f.clock.After(lingerFor, g.shut)
			return
		}
		g.shut()
	}()
}

// closeCut closes the sockets of connections that were cut off. Whoever may have cut some off calls it, once the front's lock
// is free again and before anything else. Guards against a crowd that comes faster than other goroutines run: the next
// connection is not accepted before the descriptor of the one that made room for it has been given back.
func (f *Front) closeCut() {
	f.mu.Lock()
	cut := f.cut
	f.cut = nil
	f.mu.Unlock()
	for _, g := range cut {
		g.Conn.Close()
	}
	f.mu.Lock()
	f.closing -= len(cut)
	f.mu.Unlock()
	f.closed.Broadcast()
}

// awaitCloses returns once no descriptor is held beyond the books. Guards against a goroutine that was to close a socket and is
// held back on a busy machine, while the connection that takes its place is accepted, and the next one.
func (f *Front) awaitCloses() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for f.closing > 0 {
		f.closed.Wait()
	}
}

// Idle tells whether nothing is owed to any client.
func (f *Front) Idle() bool { return f.busy.Load() == 0 }

// first takes a connection over from redcon, whose own loop would answer in order.
func (f *Front) first(rc redcon.Conn, cmd redcon.Command) {
	g := rc.NetConn().(*guard)
	c := &client{front: f, nc: g, open: map[string]context.CancelFunc{}, wake: make(chan struct{}, 1)}
	f.mu.Lock()
	g.client = c
	f.mu.Unlock()
	go c.live(rc.Detach(), cmd)
}

// guarded accepts connections whose reads are checked, and no more of them than the front may hold.
type guarded struct {
	net.Listener
	front *Front
}

func (g guarded) Accept() (net.Conn, error) {
	for {
		if halt := g.front.halt(); halt != nil {
			<-halt
		}
		g.front.awaitCloses()
		nc, err := g.Listener.Accept()
		if errors.Is(err, os.ErrDeadlineExceeded) {
			continue
		}
		if err != nil && !errors.Is(err, net.ErrClosed) {
			// Guards against redcon, which asks again at once: out of descriptors it would take the whole core, and what is
			// open could not end and give some back.
			over := make(chan struct{})
			g.front.clock.After(acceptPause, func() { close(over) })
			<-over
			continue
		}
		if err != nil {
			return nil, err
		}
		if held, ok := g.front.admit(nc); ok {
			return held, nil
		}
		g.front.core.Unanswered()
		nc.Close()
	}
}

// guard hands on whole frames only. It guards redcon's reader, which panics on a bulk length near the
// largest integer, spins on a large count and grows without bound: such bytes end the connection.
type guard struct {
	net.Conn
	front *Front
	buf   resp.Buffer
	rest  []byte

	// Under the front's lock.
	client *client // nil: it has not asked yet
	stage  stage
	read   bool    // reading has ended
	asked  bool    // a whole frame has come
	half   bool    // the next one has begun
	since  float64 // when it was accepted, when its last frame was whole, or when the next one began
}

// stage is where a client's connection stands. It goes one way.
type stage int

const (
	serving stage = iota
	leaving       // our side is shut, or about to be: what comes is read to the end and dropped
	closed
)

// Close is redcon's, which has the connection until its first frame is whole. Once it serves at all it closes what it holds
// as it ends, and a connection whose first frame has just come may be among that: its request is lived and answered.
func (g *guard) Close() error {
	defer g.front.closeCut()
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	switch {
	case g.asked:
	case g.read:
		go g.shut()
	case g.leave():
		g.front.dismiss(g)
	}
	return nil
}

// shut ends the connection at once.
func (g *guard) shut() {
	defer g.front.closeCut()
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	if g.forget() {
		g.front.cut = append(g.front.cut, g)
	}
}

// forget takes the connection out of the front's books: its place is free. It tells whether it was there. Called under the
// front's lock.
func (g *guard) forget() bool {
	if g.stage == closed {
		return false
	}
	g.stage = closed
	g.front.closing++
	delete(g.front.conns, g)
	g.front.leaving = slices.DeleteFunc(g.front.leaving, func(o *guard) bool { return o == g })
	return true
}

// Read hands on one whole frame after another, until the connection is to end: then it reads to the client's own end.
func (g *guard) Read(p []byte) (n int, err error) {
	if len(g.rest) == 0 {
		if _, g.rest, err = g.buf.Next(halves{g}); err == nil && !g.mark(false) {
			err = net.ErrClosed
		}
	}
	if err != nil {
		g.finish()
		return 0, err
	}
	n = copy(p, g.rest)
	g.rest = g.rest[n:]
	return n, nil
}

// finish is the end of reading: of a connection that is left, nothing may stay unread.
func (g *guard) finish() {
	g.front.mu.Lock()
	dropping := g.stage == leaving
	g.front.mu.Unlock()
	if dropping {
		_, _ = io.Copy(io.Discard, onlyRead{g.Conn})
	}
	g.front.mu.Lock()
	g.read = true
	g.front.mu.Unlock()
}

// onlyRead hides what else a connection can do: to be read from by splice is refused on the larger fleet's platform.
type onlyRead struct{ io.Reader }

// halves reads for the guard's buffer, and notes that half a frame has come whenever more is waited for.
type halves struct{ g *guard }

func (h halves) Read(p []byte) (int, error) {
	if h.g.buf.Held() > 0 {
		h.g.mark(true)
	}
	return h.g.Conn.Read(p)
}

// mark notes that half a frame has come, or a whole one, which may no longer be lived once the connection
// is to end.
func (g *guard) mark(half bool) bool {
	g.front.mu.Lock()
	defer g.front.mu.Unlock()
	if !half || g.asked && !g.half { // the first frame has its time from the accept on, however it trickles
		g.since = g.front.clock.Now()
	}
	if g.stage != serving {
		return false // what comes now was not asked of a proxy that would answer it
	}
	g.half, g.asked = half, g.asked || !half
	return true
}

// leave decides that a connection ends, unless its client is owed an answer. Guards against a request that
// comes between the decision and the close: an attempt would be sent for it, and its answer lost.
func (g *guard) leave() bool {
	if g.stage != serving || g.client == nil && g.asked { // its first frame is on the way to a client yet to be made
		return false
	}
	if g.client != nil {
		g.client.mu.Lock()
		defer g.client.mu.Unlock()
		if len(g.client.open) > 0 || len(g.client.out) > 0 {
			return false
		}
		g.client.closed = true
	}
	g.stage = leaving
	return true
}

// facts are what the plan wants to know. Called under the front's lock.
func (g *guard) facts(now float64) drain.Conn {
	c := drain.Conn{Half: g.half, New: !g.asked && now-g.since < newFor, Unread: g.unread()}
	if g.client != nil {
		g.client.mu.Lock()
		c.Open = len(g.client.open) + len(g.client.out)
		g.client.mu.Unlock()
	}
	return c
}

// unread tells whether bytes have come that nobody has read.
func (g *guard) unread() (some bool) {
	sc, ok := g.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	_ = raw.Control(func(fd uintptr) {
		n, err := unix.IoctlGetInt(int(fd), unix.TIOCINQ)
		some = err == nil && n > 0
	})
	return some
}

// client is one connection. Its writer sends what answers have put into the one out buffer.
type client struct {
	front *Front
	nc    *guard

	mu     sync.Mutex
	out    []byte
	open   map[string]context.CancelFunc // by tag
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
			cmd, err = dc.ReadCommand()
		}
	}
	leave()
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

// call opens a request and lets it live in a goroutine of its own.
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
	case !plan.Hears(now) || q.Deadline <= now:
		c.mu.Lock()
		delete(c.open, tag)
		c.mu.Unlock()
		cancel()
		c.send(func(b []byte) []byte { return appendAnswer(b, tag, c.front.core.Refuse()) })
		return nil
	}
	c.front.busy.Add(1)
	go func() {
		defer c.front.busy.Add(-1)
		defer cancel()
		a := c.front.core.Do(ctx, q)
		c.mu.Lock()
		invariant.Check(c.open[tag] != nil, "a tag is answered once")
		delete(c.open, tag)
		c.mu.Unlock()
		if a.Verdict != core.Gone {
			c.send(func(b []byte) []byte { return appendAnswer(b, tag, a) })
		}
	}()
	return nil
}

// word is an answer that is no more than that.
func word(tag, w string) func([]byte) []byte {
	return func(b []byte) []byte { return resp.Append(b, tag, w) }
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
