// Package handover is the shell round decide/handover: two processes of one name that meet at a socket in the directory
// they share, and pass on the clients' listener with its descriptor, the lock that says that an owner lives, and what
// operators have told. It decides nothing. Off where no console is named.
//
// What another process sends is read as untrusted: one message a packet, bounded, of a user of the same id.
package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"time"

	"ravenwheel/internal/clock"
	decide "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// settings: an operator waits 6 s for a new process; one that finds an owner which hangs is there after two.
var settings = decide.Settings{Retry: 50, Patience: 2000, Prepare: 8000}

const (
	// mostMessage bounds a packet, mostFollow the processes that are connected at once.
	mostMessage, mostFollow = 64 << 10, 4
	writeWait               = time.Second
	// watchEvery: ms between two looks at who is kept as the owner.
	watchEvery = 250
)

// Options set up a process's part.
type Options struct {
	Dir    string // shared by the processes, and kept
	Listen string // the clients' address
	Clock  *clock.Clock
	Log    *logs.Log

	Accept func(on bool)    // take new connections, or leave them
	Owns   func(on bool)    // this process owns the address from now on, or another one does
	Shares func(on bool)    // it shares the limits with another process, or no longer
	Stop   func(why string) // answer what is open, and end
	// Ended is closed once the process was told to end: it owns nothing that it does not own by then. nil: never.
	Ended <-chan struct{}
}

// ErrEnded says that a process was told to end before it owned its address.
var ErrEnded = errors.New("handover: told to end")

// Knowledge is what a process has learned and the next one may start from.
type Knowledge interface {
	LearnedState() ([]byte, error)
	RestoreLearnedState(text []byte) error
}

// Hand is a process's part in passing its address on.
type Hand struct {
	opt    Options
	base   string
	record record

	mu      sync.Mutex
	machine *decide.Machine
	peers   map[int]*net.UnixConn // those that would follow
	last    int
	owner   *net.UnixConn // the one that this process follows
	meet    *net.UnixListener
	ln      *net.TCPListener
	lock    *os.File
	told    chan struct{} // closed once all is told that a start needs
	owns    chan struct{} // closed once this process owns
	failed  chan error
	wake    func()
	closed  bool

	orders sync.Mutex // one at a time, also those from the other process
	out    func(id policy.CacheID, out bool)
	known  Knowledge // set by Ready; nil: nothing is passed on
}

// Start looks for the process that owns the address. It returns once what that one told is known, or that there is none.
func Start(o Options) (*Hand, error) {
	name := fnv.New32a()
	_, _ = name.Write([]byte(o.Listen))
	h := &Hand{
		opt: o, base: filepath.Join(o.Dir, fmt.Sprintf("ravenwheel-%08x", name.Sum32())), machine: decide.New(settings),
		peers: map[int]*net.UnixConn{}, told: make(chan struct{}), owns: make(chan struct{}), failed: make(chan error, 1), wake: func() {},
	}
	h.record.path, h.record.clock = h.base+".json", o.Clock
	if err := h.record.load(); err != nil {
		o.Log.Warn("handover").Err(err).Msg("what was kept can't be used, and is passed over")
	}
	h.tell(decide.Started{})
	select {
	case <-h.told:
		return h, nil
	case err := <-h.failed:
		return nil, err
	case <-o.Ended:
		_ = h.leave() // it is not ready to own
		return nil, ErrEnded
	}
}

// leave ends this process's part before it owns, unless it does by now.
func (h *Hand) leave() error {
	h.mu.Lock()
	owns := h.machine.Phase() >= decide.Owning
	h.closed = h.closed || !owns
	h.mu.Unlock()
	if owns {
		return nil
	}
	return ErrEnded
}

// Follow hands on which servers are out by hand and which were given back lately, and when; from then on what operators
// tell the other process.
func (h *Hand) Follow(out func(id policy.CacheID, out bool), back func(id policy.CacheID, at float64)) {
	h.orders.Lock()
	defer h.orders.Unlock()
	h.out = out
	for _, id := range h.record.out() {
		out(id, true)
	}
	for id, at := range h.record.back() {
		back(id, at)
	}
}

// Ready tells that this process could serve, and waits until it owns the address. The listener is its own from then on. k
// takes what the owner before has learned.
func (h *Hand) Ready(k Knowledge) (net.Listener, error) {
	h.mu.Lock()
	h.known = k
	h.mu.Unlock()
	h.tell(decide.Ready{})
	select {
	case <-h.owns:
	case err := <-h.failed:
		return nil, err
	case <-h.opt.Ended:
		if err := h.leave(); err != nil {
			return nil, err
		}
		<-h.owns
	}
	h.watch()
	return h.ln, nil
}

// Take keeps that a server is out by hand, or no longer, and tells the other process. It is kept when Take returns.
func (h *Hand) Take(id policy.CacheID, out bool) error {
	h.orders.Lock()
	defer h.orders.Unlock()
	err := h.record.put(id, out, h.opt.Clock.Now())
	if errors.Is(err, errFenced) {
		h.record.note(id, out)
		err = nil // the owner keeps it, as it is told below
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m := message{Kind: "out", ID: serverlist.FormatID(id), On: out}
	for _, p := range h.peers {
		_ = send(p, m, nil)
	}
	if h.owner != nil {
		_ = send(h.owner, m, nil)
	}
	return err
}

// Ending tells that this process was told to end; passed whether another one has taken its clients.
func (h *Hand) Ending() (passed bool) {
	h.tell(decide.Ending{})
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.machine.Phase() == decide.Granted || h.machine.Phase() == decide.Over
}

// Close ends this process's part. What it held is free, unless another process holds it too.
func (h *Hand) Close() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.closed = true
	h.wake()
	if h.meet != nil {
		h.meet.Close()
	}
	for _, p := range h.peers {
		p.Close()
	}
	if h.owner != nil {
		h.owner.Close()
	}
	if h.lock != nil {
		h.lock.Close()
	}
}

// tell hands an event to the machine and carries out what it wants, in order.
func (h *Hand) tell(e decide.Event) {
	h.mu.Lock()
	defer h.mu.Unlock()
	// Guards against an end that looks like the other process's: closing the connections once had this process, in its
	// last moment, take back what it had given, and the owner stepped back.
	if h.closed {
		return
	}
	for events := []decide.Event{e}; len(events) > 0; events = events[1:] {
		for _, a := range h.machine.Handle(h.opt.Clock.Now(), events[0]) {
			if next := h.do(a); next != nil {
				events = append(events, next)
			}
		}
	}
}

func closeOnce(c chan struct{}) {
	select {
	case <-c:
	default:
		close(c)
	}
}

func (h *Hand) fail(err error) {
	select {
	case h.failed <- fmt.Errorf("handover: %w", err):
	default:
	}
}

// repair does what could not be done when it was due, as the folder took no writes: what is to be kept is kept, and whoever would
// follow finds a socket to meet at.
func (h *Hand) repair() {
	_ = h.record.catchUp() // tried again at the next look
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.machine.Phase() == decide.Owning && h.meet == nil && !h.closed {
		_ = h.publish()
	}
}

// watch looks whether another process owns by now: one that found this one silent.
func (h *Hand) watch() {
	h.opt.Clock.After(watchEvery, func() {
		if g := h.generation(); g > 0 {
			h.tell(decide.Superseded{Generation: g})
		}
		h.repair()
		h.watch()
	})
}
