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

// failingFS is a file system whose syncs and file creations fail while failing is set.
type failingFS struct {
	vfs.FS
	failing      atomic.Bool
	blockedWrite atomic.Pointer[chan struct{}] // the next write waits until this channel is closed, and then fails
}

type failingFile struct {
	vfs.File
	fs *failingFS
}

// Create implements vfs.FS.
func (fs *failingFS) Create(name string) (vfs.File, error) {
	if fs.failing.Load() {
		return nil, syscall.EIO
	}
	f, err := fs.FS.Create(name)
	return failingFile{f, fs}, err
}

// Write implements vfs.File.
func (f failingFile) Write(b []byte) (int, error) {
	if unblock := f.fs.blockedWrite.Swap(nil); unblock != nil {
		<-*unblock
		return 0, syscall.EIO
	}
	return f.File.Write(b)
}

// Sync implements vfs.File.
func (f failingFile) Sync() error {
	if f.fs.failing.Load() {
		return syscall.EIO
	}
	return f.File.Sync()
}

// Syncs and file creations in the state's directory fail for two seconds. The journal can't be reopened at first, and later
// attempts find no failed journal to close, where the code once dereferenced nil. The events of that time are stored in order once
// the directory works again.
func TestEventsSurviveTemporaryDirectoryFailure(t *testing.T) {
	clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
	fs := &failingFS{FS: disk}
	recorder, _, err := state.Open(options(fs, clk))
	require.NoError(t, err)
	fs.failing.Store(true)
	require.Error(t, recorder.RecordManualDrain(9, true))
	recorder.RecordPurgeAsync(recovery.Purge{Object: "o", IssuedAt: clk.Now(), NotifiedAt: clk.Now()})
	for range 20 {
		clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
	fs.failing.Store(false)
	require.Eventually(t, func() bool {
		clk.Advance(100)
		st := recorder.Status()
		return st.Pending == 0 && st.Purges == 1 && st.Journal.Failed == ""
	}, time.Minute, time.Millisecond)
	require.NoError(t, recorder.RecordManualDrain(9, false))
	require.NoError(t, recorder.Close())
	disk.Restart(rand.New(rand.NewPCG(1, 1)))
	_, plan, err := state.Open(options(disk, clk))
	require.NoError(t, err)
	require.Len(t, plan.Purges, 1)
	require.Empty(t, plan.ManualDrains, "the last command applies")
}

// The disk is full or the directory fails for a short time while an operator starts and ends the drain of a server. Whichever event
// was stored first, the server is not draining after a restart.
func TestLastDrainCommandAppliesAfterFailure(t *testing.T) {
	for name, fail := range map[string]func(disk *vfs.Sim, fs *failingFS, failing bool){
		"full": func(disk *vfs.Sim, _ *failingFS, failing bool) {
			if disk.SetFreeSpace(-1); failing {
				disk.SetFreeSpace(0)
			}
		},
		"failing": func(_ *vfs.Sim, fs *failingFS, failing bool) { fs.failing.Store(failing) },
	} {
		for retries := range 4 { // number of retries between the two commands
			clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
			fs := &failingFS{FS: disk}
			recorder, _, err := state.Open(options(fs, clk))
			require.NoError(t, err)
			fail(disk, fs, true)
			require.Error(t, recorder.RecordManualDrain(9, true), name)
			clk.Advance(float64(retries) * 700)
			fail(disk, fs, false)
			clk.Advance(1)
			_ = recorder.RecordManualDrain(9, false) // stored now, or with the pending events
			require.NoError(t, recorder.Close(), "pending events are stored when the process ends")
			disk.Restart(rand.New(rand.NewPCG(1, 1)))
			_, plan, err := state.Open(options(disk, clk))
			require.NoError(t, err)
			require.Empty(t, plan.ManualDrains, "%s, after %d retries", name, retries)
		}
	}
}

// An operator ends a drain while the event of its start is still being written. The first write fails and the second succeeds: the
// first event must not be stored after the second.
func TestSupersededEventIsNotStoredLater(t *testing.T) {
	clk, disk := clock.Manual(1e12), vfs.NewSim(-1)
	fs := &failingFS{FS: disk}
	recorder, _, err := state.Open(options(fs, clk))
	require.NoError(t, err)
	require.NoError(t, recorder.RecordManualDrain(8, true)) // the events that Open recorded are on disk, too
	unblock := make(chan struct{})
	fs.blockedWrite.Store(&unblock)
	first, second := make(chan error, 1), make(chan error, 1)
	go func() { first <- recorder.RecordManualDrain(9, true) }()
	require.Eventually(t, func() bool { return fs.blockedWrite.Load() == nil }, time.Minute, time.Millisecond)
	go func() { second <- recorder.RecordManualDrain(9, false) }()
	time.Sleep(20 * time.Millisecond) // so that the second event is queued behind the first
	close(unblock)
	require.Error(t, <-first)
	require.NoError(t, <-second)
	for range 50 {
		clk.Advance(100)
		time.Sleep(time.Millisecond)
	}
	require.NoError(t, recorder.Close())
	disk.Restart(rand.New(rand.NewPCG(1, 1)))
	_, plan, err := state.Open(options(disk, clk))
	require.NoError(t, err)
	require.Equal(t, []uint64{8}, plan.ManualDrains)
}
