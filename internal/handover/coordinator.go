// Package handover passes the clients' listening address from one process to the next. It carries out the actions of
// decide/handover, which decides which process owns the address. The processes of one address communicate through a Unix socket in
// a directory that they share: they pass on the listener and the owner's lock as file descriptors, and the manual drains as
// messages.
//
// A process does not trust what another process sends: the other process must run as the same user, and each message is one packet
// of limited size. The tests run the coordinators of several processes in one process.
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

// settings are the time-outs of a handover. ResponseTimeout must be well below 6 s, the time within which an operator expects a new
// process to serve, even if it finds an owner that hangs.
var settings = decider.Settings{RetryDelay: 50, ResponseTimeout: 2000, PrepareTimeout: 8000}

// watchInterval is the time between two checks which process is recorded as the owner, in ms.
const watchInterval = 250

// Options configure a Coordinator. All functions must be set, and must not call the Coordinator.
type Options struct {
	Dir    string // directory that all processes of the address share; it must be persistent
	Listen string // the address at which clients connect
	Clock  *clock.Clock
	Log    *logs.Log

	SetAccepting func(on bool)       // on: accept new connections; off: leave them to another process
	SetOwner     func(on bool)       // on: this process owns the address; off: another process does
	SetShared    func(on bool)       // on: another process runs too, and both share limits such as that on memory; off: none does
	Stop         func(reason string) // answer open requests and end
	// Shared is memory that an owner sends to its successor with its state; nil: there is none.
	Shared SharedMemory
	// ShutdownRequested is closed once the process was told to shut down. A process that does not own the address by then will
	// never own it. nil: never closed.
	ShutdownRequested <-chan struct{}
}

// SharedMemory is memory that several processes use at the same time.
type SharedMemory interface {
	// Descriptor returns its descriptor. ok is false if it can't be shared.
	Descriptor() (descriptor int, ok bool)
	// Adopt replaces it by the memory of another process. If it returns no error, it owns the descriptor.
	Adopt(descriptor int) error
}

// ErrShutdown means that the process was told to shut down before it owned the address.
var ErrShutdown = errors.New("handover: shutdown requested")

// LearnedState is the state that a process has learned from its traffic and that the next process may start from.
type LearnedState interface {
	LearnedState() ([]byte, error)
	RestoreLearnedState(encoded []byte) error
}

// Coordinator takes part in handovers for one process. Its methods are safe for concurrent use.
type Coordinator struct {
	opt      Options
	basePath string // path of the address's files in Options.Dir, without their extensions
	record   record

	mu              sync.Mutex
	machine         *decider.Machine
	successors      map[int]*net.UnixConn // connections of processes that want to take over, by number
	lastSuccessor   int                   // number of the last connection accepted
	owner           *net.UnixConn         // connection to the owner from which this process takes over
	socket          *net.UnixListener     // at which successors connect; nil: not open
	listener        *net.TCPListener      // at the clients' address; nil: none yet
	lock            *os.File              // the owner's lock; nil: not held
	ownerStateKnown chan struct{}         // closed once the owner has sent its state, or it is known that there is no owner
	owns            chan struct{}         // closed once this process owns the address
	failed          chan error            // receives the first error that keeps this process from starting
	cancelTick      func()                // cancels the Tick that is scheduled
	closed          bool

	drainMu sync.Mutex // held while a manual drain is set, so that the commands take effect one at a time
	onDrain func(server policy.ServerID, drained bool)
	learned LearnedState // set by WaitForOwnership; nil: no learned state is saved or restored
}

// Start looks for the process that owns the address. It returns once that process has sent its state, or once it is known that
// there is no owner. It returns ErrShutdown if this process is told to shut down before.
func Start(o Options) (*Coordinator, error) {
	c := &Coordinator{
		opt: o, basePath: filepath.Join(o.Dir, fileName(o.Listen)), machine: decider.New(settings),
		successors: map[int]*net.UnixConn{}, ownerStateKnown: make(chan struct{}), owns: make(chan struct{}), failed: make(chan error, 1),
		cancelTick: func() {},
	}
	c.record.path, c.record.clock = c.basePath+recordExtension, o.Clock
	if err := c.record.load(); err != nil {
		o.Log.Warn("handover").Err(err).Msg("owner's record can't be loaded; starting without it")
	}
	c.handle(decider.Started{})
	select {
	case <-c.ownerStateKnown:
		return c, nil
	case err := <-c.failed:
		return nil, err
	case <-o.ShutdownRequested:
		_ = c.abandon() // the process can't own the address yet: that takes WaitForOwnership
		return nil, ErrShutdown
	}
}

// The files in the shared directory, by extension.
const (
	recordExtension  = ".json"    // the owner's record
	lockExtension    = ".lock"    // the owner's lock, locked while an owner is alive
	socketExtension  = ".sock"    // the owner's socket, to which successors connect
	learnedExtension = ".learned" // the learned state that an owner saves for the next one
)

// fileName returns the name, without extension, of the files of an address.
func fileName(listen string) string {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(listen))
	return fmt.Sprintf("ravenwheel-%08x", hash.Sum32())
}

// abandon returns ErrShutdown, and makes the coordinator ignore all further events, unless this process owns the address by now.
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

// Subscribe calls onDrain for each manual drain in effect, and onRestored for each server in the record whose manual drain has
// ended (see restoredRetention), with the time in ms at which it ended. From then on, the Coordinator calls onDrain for each drain
// that is set or ended through the other process.
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

// WaitForOwnership marks this process as ready to serve, and returns the clients' listener once this process owns the address.
// Before that it restores the previous owner's learned state into learned. It returns ErrShutdown if this process is told to shut
// down before it owns the address.
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

// SetManualDrain records that an operator has started or ended the drain of a server, and sends that to the other process. If it
// returns no error, the change is recorded by this process or will be by the other one, if that is the owner.
func (c *Coordinator) SetManualDrain(id policy.ServerID, drained bool) error {
	c.drainMu.Lock()
	defer c.drainMu.Unlock()
	err := c.record.setDrained(id, drained, c.opt.Clock.Now())
	if errors.Is(err, errFenced) {
		c.record.setDrainedInMemory(id, drained)
		err = nil // the owner records the drain when it receives the message below
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

// BeginShutdown begins the shutdown of this process. It reports whether another process accepts the clients' connections.
func (c *Coordinator) BeginShutdown() (handedOver bool) {
	c.handle(decider.ShutdownRequested{})
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.machine.Phase() == decider.Granting || c.machine.Phase() == decider.Stopped
}

// Leave makes the coordinator ignore all further events, because the process is about to end. Its connections and its lock stay open
// until the process has ended, when its memory is free: until then, its successor shares the limits with it.
func (c *Coordinator) Leave() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	c.cancelTick()
}

// Close closes the coordinator's connections and socket. It releases the lock, unless another process has a copy of it.
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

// handle passes an event to the machine and executes the machine's actions in order. Once the coordinator is closed it ignores
// events: the machine would take the end of the connections that Close closes for a crash of the other process, and would take back
// the address that it has granted.
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

// fail makes Start or WaitForOwnership return an error.
func (c *Coordinator) fail(err error) {
	select {
	case c.failed <- fmt.Errorf("handover: %w", err):
	default:
	}
}

// scheduleWatch checks every watchInterval whether another process has taken the address, because this one did not respond, and
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

// retryWrites writes the record and opens the socket for successors, if either failed before.
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
