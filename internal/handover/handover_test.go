package handover

import (
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	decider "ravenwheel/internal/decide/handover"
	"ravenwheel/policy"
)

// process is one of several processes in a test: its coordinator, and what its callbacks received.
type process struct {
	*Coordinator
	listener net.Listener
	learned  string
	restored map[policy.ServerID]float64

	mu        sync.Mutex
	drained   map[policy.ServerID]bool
	callbacks struct{ accepting, owner, shared, stopped bool }
}

func (p *process) LearnedState() ([]byte, error) { return []byte(p.learned), nil }

func (p *process) RestoreLearnedState(text []byte) error { p.learned = string(text) + "+"; return nil }

func (p *process) phase() decider.Phase {
	p.Coordinator.mu.Lock()
	defer p.Coordinator.mu.Unlock()
	return p.machine.Phase()
}

// host is where the processes of a test run: a directory and an address that they share.
type host struct {
	t    *testing.T
	dir  string
	clk  *clock.Clock
	addr string
}

func newHost(t *testing.T) *host {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return &host{t: t, dir: t.TempDir(), clk: clock.Manual(1000), addr: ln.Addr().String()}
}

// start starts a process, up to where it has the state of the owner before it.
func (h *host) start() *process {
	p := &process{drained: map[policy.ServerID]bool{}, restored: map[policy.ServerID]float64{}}
	set := func(b *bool) func(bool) {
		return func(on bool) { p.mu.Lock(); *b = on; p.mu.Unlock() }
	}
	c, err := Start(Options{
		Dir: h.dir, Listen: h.addr, Clock: h.clk,
		SetAccepting: set(&p.callbacks.accepting), SetOwner: set(&p.callbacks.owner), SetShared: set(&p.callbacks.shared),
		Stop: func(string) { set(&p.callbacks.stopped)(true) },
	})
	require.NoError(h.t, err)
	p.Coordinator = c
	c.Subscribe(func(id policy.ServerID, drained bool) { p.mu.Lock(); p.drained[id] = drained; p.mu.Unlock() },
		func(id policy.ServerID, at float64) { p.restored[id] = at })
	h.t.Cleanup(c.Close)
	return p
}

// waitForOwnership lets a started process take the address over.
func (h *host) waitForOwnership(p *process) *process {
	var err error
	p.listener, err = p.WaitForOwnership(p)
	require.NoError(h.t, err)
	return p
}

// eventually waits until a condition on a process holds, and lets time pass meanwhile.
func (h *host) eventually(p *process, why string, condition func() bool) {
	h.t.Helper()
	require.Eventually(h.t, func() bool {
		p.mu.Lock()
		ok := condition()
		p.mu.Unlock()
		if !ok {
			h.clk.Advance(10)
		}
		return ok
	}, time.Minute, time.Millisecond, why)
}

// Several processes take over one after the other. The accept queue, the manual drains and the learned state go along, and a
// process that ends takes nothing back.
func TestChainOfHandoversKeepsQueueAndState(t *testing.T) {
	h := newHost(t)
	old := h.waitForOwnership(h.start())
	old.learned = "x"
	require.NoError(t, old.SetManualDrain(7, true))
	queued, err := net.Dial("tcp", h.addr) // connected, and not accepted by any process
	require.NoError(t, err)
	defer queued.Close()
	for n := range 5 {
		next := h.start()
		require.True(t, next.drained[7])
		require.Equal(t, n > 0, next.restored[8] > 0, "restored lately: the next process warms it up too")
		h.waitForOwnership(next)
		h.eventually(old, "it stops accepting", func() bool { return !old.callbacks.accepting && !old.callbacks.owner })
		require.NoError(t, old.SetManualDrain(policy.ServerID(100+n), true), "set through the old one")
		h.eventually(next, "a drain set through one is in effect in both", func() bool { return next.drained[policy.ServerID(100+n)] })
		require.NoError(t, next.SetManualDrain(7, n%2 == 1))
		h.eventually(old, "and the other way round", func() bool { return old.drained[7] == (n%2 == 1) })
		require.True(t, old.BeginShutdown())
		old.Close()
		require.NoError(t, old.listener.Close())
		h.eventually(next, "alone", func() bool { return !next.callbacks.shared })
		require.NoError(t, next.SetManualDrain(8, true))
		require.NoError(t, next.SetManualDrain(8, false))
		require.NoError(t, next.SetManualDrain(7, true))
		require.EqualValues(t, n+2, next.recordedGeneration(), "the end of the old process makes nobody take the address back")
		old = next
	}
	nc, err := old.listener.Accept()
	require.NoError(t, err)
	require.Equal(t, queued.LocalAddr().String(), nc.RemoteAddr().String())
	require.Len(t, old.record.drainedServers(), 6)
	require.Equal(t, "x+++++", old.learned, "each restored what the one before has learned")
	require.NoFileExists(t, old.basePath+".learned")
	h.clk.Advance(restoredRetention)
	require.NoError(t, old.SetManualDrain(9, true))
	require.NoError(t, old.SetManualDrain(9, false))
	require.Len(t, old.record.restoredServers(), 1, "servers that have long warmed up are forgotten")
}

// A successor that dies before it asked for the address changes nothing. After one that dies later, the owner takes the
// address back.
func TestOwnerTakesAddressBackFromDeadSuccessor(t *testing.T) {
	h := newHost(t)
	old := h.waitForOwnership(h.start())
	h.start().Close()
	h.eventually(old, "still serving", func() bool { return old.phase() == decider.Owning && old.callbacks.accepting })
	next := h.waitForOwnership(h.start())
	h.eventually(old, "granted", func() bool { return !old.callbacks.accepting })
	next.Close()
	h.eventually(old, "taken back", func() bool { return old.callbacks.accepting && old.callbacks.owner })
	h.waitForOwnership(h.start())
	h.eventually(old, "granted once more", func() bool { return !old.callbacks.accepting })
}

// An owner that is alive but silent is passed over after a time-out. It notices the new owner, and can record nothing any more.
func TestSilentOwnerIsPassedOver(t *testing.T) {
	h := newHost(t)
	old := h.waitForOwnership(h.start())
	old.mu.Lock()
	require.NoError(t, os.Remove(old.basePath+".sock")) // no process can reach it
	old.mu.Unlock()
	started := make(chan *process)
	go func() { started <- h.start() }()
	var next *process
	require.Eventually(t, func() bool {
		select {
		case next = <-started:
			return true
		default:
			h.clk.Advance(10)
			return false
		}
	}, time.Minute, time.Millisecond)
	h.waitForOwnership(next)
	require.NoError(t, next.SetManualDrain(5, true))
	require.ErrorIs(t, old.record.setDrained(6, true, 0), errFenced)
	// It goes on accepting, as its listener has a queue of its own.
	h.eventually(old, "it stops", func() bool { return old.callbacks.stopped && old.callbacks.accepting })
	require.Equal(t, []policy.ServerID{5}, next.record.drainedServers())
	old.Close()
	h.eventually(next, "it gets the lock once the old process is gone", func() bool {
		next.Coordinator.mu.Lock()
		defer next.Coordinator.mu.Unlock()
		return next.lock != nil
	})
}

// Files left by a process long gone, and malformed ones, do not keep a process from starting.
func TestStartIgnoresStaleAndMalformedFiles(t *testing.T) {
	for name, text := range map[string]string{
		"none": "", "malformed": "{{{", "ids": `{"generation":9,"out":["x"]}`, "large": strings.Repeat(" ", maxRecordSize+1),
	} {
		t.Run(name, func(t *testing.T) {
			h := newHost(t)
			first := h.waitForOwnership(h.start())
			require.NoError(t, first.listener.Close())
			first.Close()
			if text != "" {
				require.NoError(t, os.WriteFile(first.record.path, []byte(text), 0o600))
			}
			require.FileExists(t, first.basePath+".sock")
			h.waitForOwnership(h.start())
		})
	}
	t.Run("a directory with a long name", func(t *testing.T) {
		h := newHost(t)
		h.dir = filepath.Join(h.dir, strings.Repeat("d", 120))
		require.NoError(t, os.Mkdir(h.dir, 0o700))
		old := h.waitForOwnership(h.start())
		h.waitForOwnership(h.start())
		h.eventually(old, "granted", func() bool { return !old.callbacks.owner })
	})
}
