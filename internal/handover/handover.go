// Package handover is the shell round decide/handover: two processes of one name that meet at a socket in the directory
// they share, and pass on the clients' listener with its descriptor, the lock that says that an owner lives, and what
// operators have told. It decides nothing. Off where no console is named.
//
// What another process sends is read as untrusted: one message a packet, bounded, of a user of the same id.
package handover

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

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
}

// Knowledge is what a process has learned and the next one may start from.
type Knowledge interface {
	Learned() ([]byte, error)
	Inherit(text []byte) error
}

// message is what two processes say to each other. Which fields count is the kind's.
type message struct {
	Kind       string             `json:"kind"`
	Revision   int                `json:"revision,omitempty"`
	Generation uint64             `json:"generation,omitempty"`
	Out        []string           `json:"out,omitempty"`
	Back       map[string]float64 `json:"back,omitempty"`
	ID         string             `json:"id,omitempty"`
	On         bool               `json:"on,omitempty"`
	Busy       bool               `json:"busy,omitempty"`
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
	h.record.path = h.base + ".json"
	if err := h.record.load(); err != nil {
		o.Log.Warn("handover").Err(err).Msg("what was kept can't be used, and is passed over")
	}
	h.tell(decide.Started{})
	select {
	case <-h.told:
		return h, nil
	case err := <-h.failed:
		return nil, err
	}
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
		h.watch()
		return h.ln, nil
	case err := <-h.failed:
		return nil, err
	}
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
	m := message{Kind: "out", ID: serverlist.Name(id), On: out}
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

// do carries out one action; what it comes to is the next event, or nil.
func (h *Hand) do(a decide.Action) decide.Event {
	switch a := a.(type) {
	case decide.TryLock:
		return decide.Locked{OK: h.tryLock(), Generation: h.generation()}
	case decide.Meet:
		return decide.Met{OK: h.seek()}
	case decide.Listen:
		if h.ln == nil {
			if err := h.listen(); err != nil {
				h.fail(err)
			}
		}
	case decide.Prepare:
		h.opt.Shares(!a.Alone)
		closeOnce(h.told)
	case decide.Ask:
		h.say(h.owner, message{Kind: "take"})
	case decide.Claim:
		kept, err := h.record.claim(a.Generation)
		switch {
		case errors.Is(err, errFenced), errors.Is(err, errHeld):
			return decide.Claimed{Generation: kept}
		case err != nil: // a full disk keeps nobody from serving
			h.opt.Log.Error("handover").Err(err).Msg("the owner can't be kept: what operators tell is lost with this process")
		}
		return decide.Claimed{OK: true, Generation: a.Generation}
	case decide.Own:
		if err := h.publish(); err != nil {
			h.opt.Log.Error("handover").Err(err).Msg("no other process can take over from this one")
		}
		closeOnce(h.owns)
		h.opt.Owns(true)
		h.opt.Log.Info("handover").Uint64("generation", a.Generation).Msg("this process owns the address")
	case decide.Accept:
		h.opt.Accept(a.On)
	case decide.Say:
		h.say(h.owner, message{Kind: "serves"})
	case decide.Offer:
		h.opt.Shares(true)
		h.say(h.peers[a.To], message{Kind: "state", Revision: decide.Revision, Generation: h.machine.Generation(), Out: names(h.record.out()), Back: h.record.backNames()})
	case decide.Turn:
		h.say(h.peers[a.To], message{Kind: "turn", Busy: a.Busy})
	case decide.Grant:
		h.opt.Owns(false)
		h.grant(h.peers[a.To])
	case decide.Revoke:
		h.say(h.peers[a.To], message{Kind: "revoked"})
		h.drop(a.To)
	case decide.Alone:
		h.opt.Shares(false)
	case decide.Stop:
		h.opt.Log.Warn("handover").Str("why", a.Why).Msg("this process steps back")
		h.opt.Stop(a.Why)
	case decide.Wake:
		h.wake()
		h.wake = h.opt.Clock.After(a.After, func() { h.tell(decide.Tick{}) })
	}
	return nil
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

func names(list []policy.CacheID) (out []string) {
	for _, id := range list {
		out = append(out, serverlist.Name(id))
	}
	return out
}

// generation is what is kept of the owner before.
func (h *Hand) generation() uint64 {
	h.record.mu.Lock()
	defer h.record.mu.Unlock()
	k, _ := h.record.read()
	return k.Generation
}

// tryLock takes the lock if nobody holds it. It is bound to the open file: passed on, two processes hold the one.
func (h *Hand) tryLock() bool {
	if h.lock != nil {
		return true
	}
	f, err := os.OpenFile(h.base+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		h.fail(err)
		return false
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		f.Close()
		return false
	}
	h.lock = f
	return true
}

// listen opens the clients' address, beside another process's listener if there is one.
func (h *Hand) listen() error {
	lc := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		cerr := raw.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_REUSEPORT, 1) })
		return errors.Join(cerr, err)
	}}
	ln, err := lc.Listen(context.Background(), "tcp", h.opt.Listen)
	if err != nil {
		return err
	}
	h.ln = ln.(*net.TCPListener)
	return nil
}

// addr is a path as a socket's address takes it. Guards against a directory whose name is too long for one.
func addr(path string) (_ string, done func(), err error) {
	const most = 100
	if len(path) <= most {
		return path, func() {}, nil
	}
	dir, err := os.Open(filepath.Dir(path))
	if err != nil {
		return "", nil, err
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", dir.Fd(), filepath.Base(path)), func() { dir.Close() }, nil
}

// publish opens the socket at which a successor finds this process, in place of whoever was met there before.
func (h *Hand) publish() error {
	part, path := fmt.Sprintf("%s.%d", h.base, os.Getpid()), h.base+".sock"
	_ = os.Remove(part)
	name, done, err := addr(part)
	if err != nil {
		return err
	}
	defer done()
	ln, err := net.ListenUnix("unixpacket", &net.UnixAddr{Net: "unixpacket", Name: name})
	if err != nil {
		return err
	}
	ln.SetUnlinkOnClose(false)
	if err = os.Chmod(part, 0o600); err == nil {
		err = os.Rename(part, path)
	}
	if err != nil {
		ln.Close()
		return err
	}
	if h.meet != nil {
		h.meet.Close()
	}
	h.meet = ln
	go h.welcome(ln)
	return nil
}

// welcome takes in those that would follow.
func (h *Hand) welcome(ln *net.UnixListener) {
	for {
		nc, err := ln.AcceptUnix()
		if err != nil {
			return
		}
		h.mu.Lock()
		if len(h.peers) >= mostFollow || !sameUser(nc) {
			h.mu.Unlock()
			nc.Close()
			continue
		}
		h.last++
		n := h.last
		h.peers[n] = nc
		h.mu.Unlock()
		go h.hearFollower(n, nc)
	}
}

func sameUser(nc *net.UnixConn) (same bool) {
	raw, err := nc.SyscallConn()
	if err != nil {
		return false
	}
	err = raw.Control(func(fd uintptr) {
		cred, cerr := unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED)
		same = cerr == nil && int(cred.Uid) == os.Getuid()
	})
	return same && err == nil
}

func (h *Hand) drop(n int) {
	if p := h.peers[n]; p != nil {
		p.Close()
		delete(h.peers, n)
	}
}

func (h *Hand) hearFollower(n int, nc *net.UnixConn) {
	for {
		m, _, err := receive(nc)
		if err != nil {
			break
		}
		switch m.Kind {
		case "hello":
			h.tell(decide.Hello{From: n, Revision: m.Revision})
		case "take":
			h.tell(decide.Take{From: n})
		case "serves":
			h.tell(decide.Serves{From: n})
		case "out":
			h.heard(m)
		}
	}
	h.mu.Lock()
	h.drop(n)
	h.mu.Unlock()
	h.tell(decide.Left{From: n})
}

// heard takes in what an operator told the other process.
func (h *Hand) heard(m message) {
	id, ok := serverlist.ID(m.ID)
	if !ok {
		return
	}
	h.orders.Lock()
	defer h.orders.Unlock()
	if err := h.record.put(id, m.On, h.opt.Clock.Now()); err != nil {
		h.record.note(id, m.On)
	}
	if h.out != nil {
		h.out(id, m.On)
	}
}

// seek connects to the owner and says hello.
func (h *Hand) seek() bool {
	name, done, err := addr(h.base + ".sock")
	if err != nil {
		return false
	}
	defer done()
	nc, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Net: "unixpacket", Name: name})
	if err != nil {
		return false
	}
	if !sameUser(nc) || send(nc, message{Kind: "hello", Revision: decide.Revision}, nil) != nil {
		nc.Close()
		return false
	}
	if h.owner != nil {
		h.owner.Close()
	}
	h.owner = nc
	go h.hearOwner(nc)
	return true
}

func (h *Hand) hearOwner(nc *net.UnixConn) {
	for {
		m, fds, err := receive(nc)
		h.mu.Lock()
		current := h.owner == nc
		h.mu.Unlock()
		if err != nil || !current {
			shut(fds)
			nc.Close()
			if current {
				h.tell(decide.OwnerLost{})
			}
			return
		}
		switch m.Kind {
		case "state":
			err := kept{Out: m.Out, Back: m.Back}.check()
			if err != nil {
				h.opt.Log.Warn("handover").Err(err).Msg("what the owner tells can't be used")
				m.Revision = -1
			}
			if err == nil {
				h.record.replace(m.Out, m.Back)
			}
			h.tell(decide.Told{Revision: m.Revision, Generation: m.Generation})
		case "turn":
			h.tell(decide.Turned{Busy: m.Busy})
		case "given":
			if h.given(fds) {
				fds = nil
				h.tell(decide.Given{})
			}
		case "revoked":
			h.tell(decide.Revoked{})
		case "out":
			h.heard(m)
		}
		shut(fds)
	}
}

// given takes the listener and the lock.
func (h *Hand) given(fds []int) bool {
	if len(fds) < 1 {
		return false
	}
	f := os.NewFile(uintptr(fds[0]), "listener")
	ln, err := net.FileListener(f)
	f.Close()
	tcp, ok := ln.(*net.TCPListener)
	if err != nil || !ok || tcp.Addr().String() != h.opt.Listen {
		h.opt.Log.Warn("handover").Msg("what the owner passed on is no listener at the clients' address")
		shut(fds[1:])
		return false
	}
	h.inherit()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ln = tcp
	if len(fds) > 1 && h.lock == nil {
		h.lock = os.NewFile(uintptr(fds[1]), "lock")
		fds = fds[1:]
	}
	shut(fds[1:])
	return true
}

// mostLearned bounds the file of what was learned.
const mostLearned = 4 << 20

// inherit takes what the owner before has learned. It is worth much less than a start that fails.
func (h *Hand) inherit() {
	path := h.base + ".learned"
	defer os.Remove(path)
	info, err := os.Stat(path)
	if err != nil || h.known == nil || info.Size() > mostLearned {
		return
	}
	text, err := os.ReadFile(path)
	if err == nil {
		err = h.known.Inherit(text)
	}
	if err != nil {
		h.opt.Log.Warn("handover").Err(err).Msg("what the owner before has learned is not used")
	}
}

// bequeath leaves what was learned to the next owner.
func (h *Hand) bequeath() {
	path := h.base + ".learned"
	_ = os.Remove(path) // of an earlier one, which nobody took
	if h.known == nil {
		return
	}
	text, err := h.known.Learned()
	if err == nil {
		err = os.WriteFile(path, text, 0o600)
	}
	if err != nil {
		h.opt.Log.Warn("handover").Err(err).Msg("what was learned is not passed on")
	}
}

func shut(fds []int) {
	for _, fd := range fds {
		_ = unix.Close(fd)
	}
}

// grant passes on the listener and the lock.
func (h *Hand) grant(to *net.UnixConn) {
	if to == nil {
		return
	}
	raw, err := h.ln.SyscallConn()
	if err != nil {
		return
	}
	h.bequeath()
	_ = raw.Control(func(fd uintptr) {
		fds := []int{int(fd)}
		if h.lock != nil {
			fds = append(fds, int(h.lock.Fd()))
		}
		err = send(to, message{Kind: "given"}, fds)
	})
	if err != nil {
		to.Close() // its reader tells that it is gone
	}
}

func (h *Hand) say(to *net.UnixConn, m message) {
	if to != nil && send(to, m, nil) != nil {
		to.Close()
	}
}

// watch looks whether another process owns by now: one that found this one silent.
func (h *Hand) watch() {
	h.opt.Clock.After(watchEvery, func() {
		if g := h.generation(); g > 0 {
			h.tell(decide.Superseded{Generation: g})
		}
		h.watch()
	})
}

func send(nc *net.UnixConn, m message, fds []int) error {
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	_ = nc.SetWriteDeadline(time.Now().Add(writeWait))
	var rights []byte
	if len(fds) > 0 {
		rights = unix.UnixRights(fds...)
	}
	_, _, err = nc.WriteMsgUnix(text, rights, nil)
	return err
}

var errMessage = errors.New("a message that can't be read")

func receive(nc *net.UnixConn) (m message, fds []int, err error) {
	text, rights := make([]byte, mostMessage), make([]byte, unix.CmsgSpace(4*4))
	n, nr, flags, _, err := nc.ReadMsgUnix(text, rights)
	if err == nil && n == 0 {
		err = net.ErrClosed
	}
	if err != nil {
		return m, nil, err
	}
	if list, perr := unix.ParseSocketControlMessage(rights[:nr]); perr == nil {
		for _, c := range list {
			if got, rerr := unix.ParseUnixRights(&c); rerr == nil {
				fds = append(fds, got...)
			}
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	if flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0 || json.Unmarshal(text[:n], &m) != nil {
		shut(fds)
		return m, nil, errMessage
	}
	return m, fds, nil
}
