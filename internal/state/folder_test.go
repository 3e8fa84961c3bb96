package state_test

import (
	"math/rand/v2"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/journal/vfs"
	"ravenwheel/internal/state"
)

// sick is a file system whose syncs and creates fail for as long as it is said to.
type sick struct {
	vfs.FS
	now  atomic.Bool
	hold atomic.Pointer[chan struct{}] // the next write waits for it, and fails
}

type sickFile struct {
	vfs.File
	fs *sick
}

// Create implements vfs.FS.
func (s *sick) Create(name string) (vfs.File, error) {
	if s.now.Load() {
		return nil, syscall.EIO
	}
	f, err := s.FS.Create(name)
	return sickFile{f, s}, err
}

// Write implements vfs.File.
func (f sickFile) Write(b []byte) (int, error) {
	if hold := f.fs.hold.Swap(nil); hold != nil {
		<-*hold
		return 0, syscall.EIO
	}
	return f.File.Write(b)
}

// Sync implements vfs.File.
func (f sickFile) Sync() error {
	if f.fs.now.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// Syncs and creates in the state's folder failed for two seconds, and the process panicked: "invalid memory address or nil pointer
// dereference" in Keeper.heal. After a sync that failed the journal is opened anew, and where that failed too, the next try closed
// a journal that was not there. What was told meanwhile has to be on disk once the folder is well again, in the order in which it
// was told.
func TestFolderFailsForAWhile(t *testing.T) {
	clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
	fs := &sick{FS: disk}
	k, _, err := state.Open(options(fs, clk))
	require.NoError(t, err)
	fs.now.Store(true)
	require.Error(t, k.Drained(9, true))
	k.Purging(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()})
	for range 20 {
		clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
	fs.now.Store(false)
	require.Eventually(t, func() bool {
		clk.Advance(100)
		st := k.Status()
		return st.Waiting == 0 && st.Purges == 1 && st.Journal.Failed == ""
	}, time.Minute, time.Millisecond)
	require.NoError(t, k.Drained(9, false))
	require.NoError(t, k.Close())
	disk.Restart(rand.New(rand.NewPCG(1, 1)))
	_, plan, err := state.Open(options(disk, clk))
	require.NoError(t, err)
	require.Len(t, plan.Purges, 1)
	require.Empty(t, plan.ManualDrains, "what was told last counts")
}

// The folder fails once more, in each way for a moment, as an operator drains a server and gives it back: whichever of the two was
// kept first, a restart finds the server given back.
func TestLastWordCountsAfterAFailure(t *testing.T) {
	for name, fail := range map[string]func(disk *vfs.Sim, fs *sick, on bool){
		"full": func(disk *vfs.Sim, _ *sick, on bool) {
			if disk.Room(-1); on {
				disk.Room(0)
			}
		},
		"sick": func(_ *vfs.Sim, fs *sick, on bool) { fs.now.Store(on) },
	} {
		for between := range 4 { // retries
			clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
			fs := &sick{FS: disk}
			k, _, err := state.Open(options(fs, clk))
			require.NoError(t, err)
			fail(disk, fs, true)
			require.Error(t, k.Drained(9, true), name)
			clk.Advance(float64(between) * 700)
			fail(disk, fs, false)
			clk.Advance(1)
			_ = k.Drained(9, false) // kept now, or with what waits
			require.NoError(t, k.Close(), "what waits is kept as the process ends")
			disk.Restart(rand.New(rand.NewPCG(1, 1)))
			_, plan, err := state.Open(options(disk, clk))
			require.NoError(t, err)
			require.Empty(t, plan.ManualDrains, "%s, %d retries later", name, between)
		}
	}
}

// A server is drained by hand, and given back while that is still being written; the first write fails and the second does not.
// What was told first is not kept behind what was told last.
func TestOlderEventIsNotKeptLater(t *testing.T) {
	clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
	fs := &sick{FS: disk}
	k, _, err := state.Open(options(fs, clk))
	require.NoError(t, err)
	require.NoError(t, k.Drained(8, true)) // what the start writes is written
	hold := make(chan struct{})
	fs.hold.Store(&hold)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- k.Drained(9, true) }()
	require.Eventually(t, func() bool { return fs.hold.Load() == nil }, time.Minute, time.Millisecond)
	go func() { second <- k.Drained(9, false) }()
	time.Sleep(20 * time.Millisecond) // it waits behind the first
	close(hold)
	require.Error(t, <-first)
	require.NoError(t, <-second)
	for range 50 {
		clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, k.Close())
	disk.Restart(rand.New(rand.NewPCG(1, 1)))
	_, plan, err := state.Open(options(disk, clk))
	require.NoError(t, err)
	require.Equal(t, []uint64{8}, plan.ManualDrains)
}
