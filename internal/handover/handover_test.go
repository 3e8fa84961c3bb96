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
	decide "ravenwheel/internal/decide/handover"
	"ravenwheel/policy"
)

// process is one of several in a test, as far as its part in a hand-over goes.
type process struct {
	*Hand
	ln    net.Listener
	knows string
	mu    sync.Mutex
	out   map[policy.CacheID]bool
	back  map[policy.CacheID]float64
	got   struct{ accepts, owns, shares, stopped bool }
}

func (p *process) LearnedState() ([]byte, error) { return []byte(p.knows), nil }

func (p *process) RestoreLearnedState(text []byte) error { p.knows = string(text) + "+"; return nil }

func (p *process) phase() decide.Phase {
	p.Hand.mu.Lock()
	defer p.Hand.mu.Unlock()
	return p.machine.Phase()
}

type world struct {
	t   *testing.T
	dir string
	clk *clock.Clock
	at  string
}

func newWorld(t *testing.T) *world {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return &world{t: t, dir: t.TempDir(), clk: clock.Manual(1000), at: ln.Addr().String()}
}

// start returns a process that knows what was told.
func (w *world) start() *process {
	p := &process{out: map[policy.CacheID]bool{}, back: map[policy.CacheID]float64{}}
	set := func(b *bool) func(bool) {
		return func(on bool) { p.mu.Lock(); *b = on; p.mu.Unlock() }
	}
	h, err := Start(Options{
		Dir: w.dir, Listen: w.at, Clock: w.clk, Accept: set(&p.got.accepts), Owns: set(&p.got.owns), Shares: set(&p.got.shares),
		Stop: func(string) { set(&p.got.stopped)(true) },
	})
	require.NoError(w.t, err)
	p.Hand = h
	h.Follow(func(id policy.CacheID, out bool) { p.mu.Lock(); p.out[id] = out; p.mu.Unlock() },
		func(id policy.CacheID, at float64) { p.back[id] = at })
	w.t.Cleanup(h.Close)
	return p
}

func (w *world) own(p *process) *process {
	var err error
	p.ln, err = p.Ready(p)
	require.NoError(w.t, err)
	return p
}

func (w *world) becomes(p *process, why string, is func() bool) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		p.mu.Lock()
		ok := is()
		p.mu.Unlock()
		if !ok {
			w.clk.Advance(10)
		}
		return ok
	}, time.Minute, time.Millisecond, why)
}

// A chain of processes takes over one from the other: one queue of connections all the way, what operators told goes
// along, and one that ends takes nothing back.
func TestChain(t *testing.T) {
	w := newWorld(t)
	old := w.own(w.start())
	old.knows = "x"
	require.NoError(t, old.Take(7, true))
	waits, err := net.Dial("tcp", w.at) // in the queue, and nobody has accepted it
	require.NoError(t, err)
	defer waits.Close()
	for n := range 5 {
		next := w.start()
		require.True(t, next.out[7])
		require.Equal(t, n > 0, next.back[8] > 0, "given back lately: cold for the next one too")
		w.own(next)
		w.becomes(old, "it leaves the clients", func() bool { return !old.got.accepts && !old.got.owns })
		require.NoError(t, old.Take(policy.CacheID(100+n), true), "told to the old one")
		w.becomes(next, "what is told to one binds both", func() bool { return next.out[policy.CacheID(100+n)] })
		require.NoError(t, next.Take(7, n%2 == 1))
		w.becomes(old, "and the other way", func() bool { return old.out[7] == (n%2 == 1) })
		require.True(t, old.Ending())
		old.Close()
		require.NoError(t, old.ln.Close())
		w.becomes(next, "alone", func() bool { return !next.got.shares })
		require.NoError(t, next.Take(8, true))
		require.NoError(t, next.Take(8, false))
		require.NoError(t, next.Take(7, true))
		require.EqualValues(t, n+2, next.generation(), "an end is not taken for the successor's: nothing was taken back")
		old = next
	}
	nc, err := old.ln.Accept()
	require.NoError(t, err)
	require.Equal(t, waits.LocalAddr().String(), nc.RemoteAddr().String())
	require.Len(t, old.record.out(), 6)
	require.Equal(t, "x+++++", old.knows, "what each has learned, from the one before")
	require.NoFileExists(t, old.base+".learned")
	w.clk.Advance(backFor)
	require.NoError(t, old.Take(9, true))
	require.NoError(t, old.Take(9, false))
	require.Len(t, old.record.back(), 1, "what is long warm is told no more")
}

// Successors that die: before they ask to own nothing has happened; after, the owner goes on with what it still holds.
func TestSuccessorDies(t *testing.T) {
	w := newWorld(t)
	old := w.own(w.start())
	w.start().Close()
	w.becomes(old, "serving still", func() bool { return old.phase() == decide.Owning && old.got.accepts })
	next := w.own(w.start())
	w.becomes(old, "given", func() bool { return !old.got.accepts })
	next.Close()
	w.becomes(old, "taken back", func() bool { return old.got.accepts && old.got.owns })
	w.own(w.start())
	w.becomes(old, "given once more", func() bool { return !old.got.accepts })
}

// An owner that lives and says nothing is passed over after its time; it finds who owns, and may keep nothing any more.
func TestOwnerHangs(t *testing.T) {
	w := newWorld(t)
	old := w.own(w.start())
	old.mu.Lock()
	require.NoError(t, os.Remove(old.base+".sock")) // nobody comes through to it
	old.mu.Unlock()
	started := make(chan *process)
	go func() { started <- w.start() }()
	var next *process
	require.Eventually(t, func() bool {
		select {
		case next = <-started:
			return true
		default:
			w.clk.Advance(10)
			return false
		}
	}, time.Minute, time.Millisecond)
	w.own(next)
	require.NoError(t, next.Take(5, true))
	require.ErrorIs(t, old.record.put(6, true, 0), errFenced)
	// Its listener has a queue of its own, which it empties before it closes it.
	w.becomes(old, "steps back", func() bool { return old.got.stopped && old.got.accepts })
	require.Equal(t, []policy.CacheID{5}, next.record.out())
	old.Close()
	w.becomes(next, "and has the lock once that one is gone", func() bool { next.Hand.mu.Lock(); defer next.Hand.mu.Unlock(); return next.lock != nil })
}

// What lies about from a process long gone, or was written by nobody of ours, does not keep one from starting.
func TestStale(t *testing.T) {
	for name, text := range map[string]string{"none": "", "rubbish": "{{{", "ids": `{"generation":9,"out":["x"]}`, "large": strings.Repeat(" ", mostRecord+1)} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t)
			first := w.own(w.start())
			require.NoError(t, first.ln.Close())
			first.Close()
			if text != "" {
				require.NoError(t, os.WriteFile(first.record.path, []byte(text), 0o600))
			}
			require.FileExists(t, first.base+".sock")
			w.own(w.start())
		})
	}
	t.Run("a directory with a long name", func(t *testing.T) {
		w := newWorld(t)
		w.dir = filepath.Join(w.dir, strings.Repeat("d", 120))
		require.NoError(t, os.Mkdir(w.dir, 0o700))
		old := w.own(w.start())
		w.own(w.start())
		w.becomes(old, "given", func() bool { return !old.got.owns })
	})
}
