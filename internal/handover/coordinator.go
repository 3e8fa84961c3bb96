// Package handover passes the clients' listening address from one process to the next. It is the shell around
// decide/handover, which decides which process owns the address. Processes of one address meet at a socket in a directory that
// they share, where they pass on the listener and the owner's lock as file descriptors, and the operators' manual drains.
//
// What another process sends is untrusted: it must be of the same user, and each message is one packet of bounded size. Its
// tests run several processes' parts in one.
package handover

import (
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/handover"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// settings are the time-outs of a handover. ResponseTimeout must be well below 6 s: within that time an operator expects a new process
// to serve, also where it finds an owner that hangs.
var settings = decider.Settings{RetryDelay: 50, ResponseTimeout: 2000, PrepareTimeout: 8000}

// watchInterval is the time between two checks of which process is recorded as the owner, in ms.
const watchInterval = 250

// Options configure a process's part. All functions must be set, and must not call the Coordinator.
type Options struct {
	Dir    string // shared by the processes, and persistent
	Listen string // the clients' address
	Clock  *clock.Clock
	Log    *logs.Log

	SetAccepting func(on bool)       // accept new connections, or leave them to another process
	SetOwner     func(on bool)       // this process owns the address, or another one does
	SetShared    func(on bool)       // another process shares this one's limits, or none does
	Stop         func(reason string) // answer open requests and end
	// ShutdownRequested is closed once the process was told to end. A process that does not own its address by then never
	// will. nil: never closed.
	ShutdownRequested <-chan struct{}
}

// ErrShutdown says that the process was told to end before it owned its address.
var ErrShutdown = errors.New("handover: shutdown requested")

// LearnedState is what a process has learned, and the next one may start from.
type LearnedState interface {
	LearnedState() ([]byte, error)
	RestoreLearnedState(encoded []byte) error
}

// Coordinator is a process's part in a handover. Its methods are safe for concurrent use.
type Coordinator struct {
	opt      Options
	basePath string // of the files in Options.Dir, without their extensions
	record   record

	mu              sync.Mutex
	machine         *decider.Machine
	successors      map[int]*net.UnixConn // connections of processes that would follow, by number
	lastSuccessor   int
	owner           *net.UnixConn // connection to the owner that this process follows
	socket          *net.UnixListener
	listener        *net.TCPListener
	lock            *os.File
	ownerStateKnown chan struct{} // closed once the owner has sent its state, or it is known that there is no owner
	owns            chan struct{} // closed once this process owns the address
	failed          chan error
	cancelTick      func()
	closed          bool

	drainMu sync.Mutex // held while a manual drain is set, so that commands take effect one at a time
	onDrain func(server policy.ServerID, drained bool)
	learned LearnedState // set by WaitForOwnership; nil: nothing is passed on
}

// Start looks for the process that owns the address. It returns once that process has sent its state, or once it is known
// that there is none. It returns ErrShutdown if the process is told to end before.
func Start(o Options) (*Coordinator, error) {
	c := &Coordinator{
		opt: o, basePath: filepath.Join(o.Dir, fileName(o.Listen)), machine: decider.New(settings),
		successors: map[int]*net.UnixConn{}, ownerStateKnown: make(chan struct{}), owns: make(chan struct{}), failed: make(chan error, 1),
		cancelTick: func() {},
	}
	c.record.path, c.record.clock = c.basePath+recordExtension, o.Clock
	if err := c.record.load(); err != nil {
		o.Log.Warn("handover").Err(err).Msg("owner's record is unusable; starting without it")
	}
	c.handle(decider.Started{})
	select {
	case <-c.ownerStateKnown:
		return c, nil
	case err := <-c.failed:
		return nil, err
	case <-o.ShutdownRequested:
		_ = c.abandon() // it is not ready to own
		return nil, ErrShutdown
	}
}

// The files in the shared directory, by extension.
const (
	recordExtension  = ".json"    // the owner's record
	lockExtension    = ".lock"    // locked while an owner is alive
	socketExtension  = ".sock"    // where processes meet
	learnedExtension = ".learned" // learned state, on its way to the next owner
)

// fileName returns the base name of the files of an address.
func fileName(listen string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(listen))
	return fmt.Sprintf("ravenwheel-%08x", hash.Sum32())
}

// abandon ends this process's part with ErrShutdown, unless it owns the address by now.
func (c *Coordinator) abandon() error {
	c.mu.Lock()
	owns := c.machine.Phase() >= decider.Owning
	c.closed = c.closed || !owns
	c.mu.Unlock()
	if owns {
		return nil
	}
	return ErrShutdown
}

// Subscribe reports the manual drains in force and the servers restored lately, with the times in ms, and from then on each
// drain that is set through the other process.
func (c *Coordinator) Subscribe(onDrain func(server policy.ServerID, drained bool), onRestored func(server policy.ServerID, at float64)) {
	c.drainMu.Lock()
	defer c.drainMu.Unlock()
	c.onDrain = onDrain
	for _, id := range c.record.drainedServers() {
		onDrain(id, true)
	}
	for id, at := range c.record.restoredServers() {
		onRestored(id, at)
	}
}

// WaitForOwnership says that this process is ready to serve, and returns the clients' listener once it owns the address. It
// restores into learned what the previous owner has learned. It returns ErrShutdown if the process is told to end before.
func (c *Coordinator) WaitForOwnership(learned LearnedState) (net.Listener, error) {
	c.mu.Lock()
	c.learned = learned
	c.mu.Unlock()
	c.handle(decider.Ready{})
	select {
	case <-c.owns:
	case err := <-c.failed:
		return nil, err
	case <-c.opt.ShutdownRequested:
		if err := c.abandon(); err != nil {
			return nil, err
		}
		<-c.owns
	}
	c.scheduleWatch()
	return c.listener, nil
}

// SetManualDrain records that an operator drains a server, or no longer does, and sends it to the other process. Without an
// error it is recorded, by this process or, if that is the owner, by the other one.
func (c *Coordinator) SetManualDrain(id policy.ServerID, drained bool) error {
	c.drainMu.Lock()
	defer c.drainMu.Unlock()
	err := c.record.setDrained(id, drained, c.opt.Clock.Now())
	if errors.Is(err, errFenced) {
		c.record.setDrainedInMemory(id, drained)
		err = nil // the owner records it, when it receives the message below
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	m := message{Kind: kindDrain, ID: serverlist.FormatID(id), Active: drained}
	for _, conn := range c.successors {
		_ = send(conn, m, nil)
	}
	if c.owner != nil {
		_ = send(c.owner, m, nil)
	}
	return err
}

// BeginShutdown says that this process was told to end. It reports whether another process has its clients.
func (c *Coordinator) BeginShutdown() (handedOver bool) {
	c.handle(decider.ShutdownRequested{})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Phase() == decider.Granting || c.machine.Phase() == decider.Stopped
}

// Close ends this process's part. It releases the lock, unless another process has a copy.
func (c *Coordinator) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancelTick()
	if c.socket != nil {
		c.socket.Close()
	}
	for _, conn := range c.successors {
		conn.Close()
	}
	if c.owner != nil {
		c.owner.Close()
	}
	if c.lock != nil {
		c.lock.Close()
	}
}

// handle hands an event to the machine and executes its actions in order. Once closed it ignores events: to the machine, the
// connections that Close ends would look as if the other process had gone, and it would take back what it has granted.
func (c *Coordinator) handle(e decider.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	for events := []decider.Event{e}; len(events) > 0; events = events[1:] {
		for _, a := range c.machine.Handle(c.opt.Clock.Now(), events[0]) {
			if result := c.execute(a); result != nil {
				events = append(events, result)
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

func (c *Coordinator) fail(err error) {
	select {
	case c.failed <- fmt.Errorf("handover: %w", err):
	default:
	}
}

// scheduleWatch checks every watchInterval whether another process has taken the address, because it found this one silent, and
// retries writes that failed.
func (c *Coordinator) scheduleWatch() {
	c.opt.Clock.After(watchInterval, func() {
		if g := c.recordedGeneration(); g > 0 {
			c.handle(decider.Superseded{Generation: g})
		}
		c.retryWrites()
		c.scheduleWatch()
	})
}

// retryWrites writes the record, and opens the socket for successors, if the directory refused either before.
func (c *Coordinator) retryWrites() {
	_ = c.record.retryWrite() // retried again later
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.machine.Phase() == decider.Owning && c.socket == nil && !c.closed {
		_ = c.openSocket()
	}
}

// recordedGeneration returns the generation of the last recorded owner; 0: none is recorded.
func (c *Coordinator) recordedGeneration() uint64 {
	c.record.mu.Lock()
	defer c.record.mu.Unlock()
	stored, _ := c.record.read()
	return stored.Generation
}
