package journal

import (
	"bytes"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/journal/vfs"
)

// recorder is a target that keeps all payloads.
type recorder struct{ payloads []string }

func (r *recorder) Restore(snapshot []byte) error {
	r.payloads = nil
	if len(snapshot) > 0 {
		r.payloads = strings.Split(string(snapshot), "\n")
	}
	return nil
}

func (r *recorder) Replay(_ uint64, payload []byte) error {
	r.payloads = append(r.payloads, string(payload))
	return nil
}

func (r *recorder) state() []byte { return []byte(strings.Join(r.payloads, "\n")) }

func payload(n int) string { return fmt.Sprintf("record %d %s", n, strings.Repeat("x", n*37%700)) }

func options(fs vfs.FS) Options {
	return Options{FS: fs, Clock: clock.System(), SegmentSize: 3000}
}

// appendBatches appends n records from number from on, one batch after another, with snapshots in between, until something
// fails. It returns how many payloads were acknowledged and how many were attempted, each counted from the first payload.
func appendBatches(fs vfs.FS, from, n int) (acknowledged, attempted int) {
	var m recorder
	j, err := Open("d", options(fs), &m)
	if err != nil {
		return from, from
	}
	defer j.Close()
	acknowledged, attempted = from, from
	for i := from; i < from+n; {
		// A batch of one to three records, queued at once so that the writer takes them together.
		var wait sync.WaitGroup
		size := 1 + i%3
		errs := make([]error, size)
		batch := make([]*entry, 0, size)
		for k := range size {
			wait.Add(1)
			batch = append(batch, &entry{payload: []byte(payload(i + k)), done: func(_ uint64, err error) {
				errs[k] = err
				wait.Done()
			}})
		}
		attempted = i + size
		j.mu.Lock()
		j.queue = append(j.queue, batch...)
		j.mu.Unlock()
		j.signal()
		wait.Wait()
		if errors.Join(errs...) != nil {
			return acknowledged, attempted
		}
		for k := range size {
			m.payloads = append(m.payloads, payload(i+k))
		}
		i += size
		acknowledged = i
		if i%7 == 0 && j.Compact(uint64(len(m.payloads)), m.state()) != nil {
			return acknowledged, attempted
		}
	}
	return acknowledged, attempted
}

// requireRecovered opens the journal and requires that it holds all acknowledged records and, behind them, nothing but the
// first of those attempted. It returns how many records there are.
func requireRecovered(t *testing.T, fs vfs.FS, acknowledged, attempted int, what string) int {
	t.Helper()
	var m recorder
	j, err := Open("d", options(fs), &m)
	require.NoError(t, err, what)
	require.NoError(t, j.Close(), what)
	require.GreaterOrEqual(t, len(m.payloads), acknowledged, "%s: an acknowledged record is lost", what)
	require.LessOrEqual(t, len(m.payloads), attempted, "%s: a record was invented", what)
	for i, p := range m.payloads {
		require.Equal(t, payload(i), p, "%s: record %d", what, i)
	}
	return len(m.payloads)
}

// The power is lost at every call to the disk, with unsynced data torn in several ways. All acknowledged records are
// recovered, and more can be appended behind them.
func TestCrashAtEveryCall(t *testing.T) {
	clean := vfs.NewSim(-1)
	appendBatches(clean, 0, 40)
	calls := clean.Calls()
	require.Greater(t, calls, 60)
	for at := 1; at <= calls+1; at++ {
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, uint64(at)))
			what := fmt.Sprintf("crash at call %d of %d, seed %d", at, calls, seed)
			fs := vfs.NewSim(-1)
			fs.FailAt(at, vfs.Crash)
			acknowledged, attempted := appendBatches(fs, 0, 40)
			fs.Restart(rng)
			// A second crash during the recovery.
			fs.FailAt(fs.Calls()+1+rng.IntN(6), vfs.Crash)
			_, _ = Open("d", options(fs), &recorder{})
			fs.Restart(rng)
			have := requireRecovered(t, fs, acknowledged, attempted, what)
			fs.FailAt(fs.Calls()+1+rng.IntN(30), vfs.Crash)
			acknowledged, attempted = appendBatches(fs, have, 9)
			fs.Restart(rng)
			requireRecovered(t, fs, max(have, acknowledged), max(have, attempted), what+", and again")
		}
	}
}

// An error at every call to the disk: all acknowledged records are recovered.
func TestErrorAtEveryCall(t *testing.T) {
	for _, fault := range []vfs.Fault{vfs.IOError, vfs.SyncLost, vfs.ShortWrite} {
		for at := 1; at <= 80; at++ {
			rng := rand.New(rand.NewPCG(uint64(fault), uint64(at)))
			what := fmt.Sprintf("fault %d at call %d", fault, at)
			fs := vfs.NewSim(-1)
			fs.FailAt(at, fault)
			acknowledged, attempted := appendBatches(fs, 0, 40)
			fs.Restart(rng)
			have := requireRecovered(t, fs, acknowledged, attempted, what)
			acknowledged, attempted = appendBatches(fs, have, 9)
			fs.Restart(rng)
			requireRecovered(t, fs, max(have, acknowledged), max(have, attempted), what)
		}
	}
}

func TestNoRecordIsAcceptedAfterFailedSync(t *testing.T) {
	fs := vfs.NewSim(-1)
	j, err := Open("d", options(fs), &recorder{})
	require.NoError(t, err)
	_, err = j.Append([]byte("a"))
	require.NoError(t, err)
	fs.FailAt(fs.Calls()+2, vfs.SyncLost)
	_, err = j.Append([]byte("b"))
	require.ErrorIs(t, err, ErrFailed)
	_, err = j.Append([]byte("c"))
	require.ErrorIs(t, err, ErrFailed)
	require.NotEmpty(t, j.Stats().Failed)
	require.NoError(t, j.Close())
	_, err = j.Append([]byte("d"))
	require.ErrorIs(t, err, ErrClosed)
	fs.Restart(rand.New(rand.NewPCG(1, 1)))
	var m recorder
	_, err = Open("d", options(fs), &m)
	require.NoError(t, err)
	require.Equal(t, "a", m.payloads[0])
}

// A sync fails, the process alone is restarted and reads what the page cache still shows, and then the power is lost.
func TestRecoveryAfterFailedSyncAndProcessRestart(t *testing.T) {
	for seed := range uint64(50) {
		fs := vfs.NewSim(-1)
		j, err := Open("d", options(fs), &recorder{})
		require.NoError(t, err)
		_, err = j.Append([]byte(payload(0)))
		require.NoError(t, err)
		fs.FailAt(fs.Calls()+2, vfs.SyncLost)
		_, err = j.Append([]byte(payload(1)))
		require.ErrorIs(t, err, ErrFailed)
		require.NoError(t, j.Close())
		fs.Restart(nil)
		acknowledged, _ := appendBatches(fs, 2, 3)
		fs.Restart(rand.New(rand.NewPCG(seed, 1)))
		requireRecovered(t, fs, acknowledged, acknowledged, "after a sync that failed")
	}
}

// A full disk rejects records and loses none, and accepts records again once there is space.
func TestFullDiskLosesNothingAndRecovers(t *testing.T) {
	for free := range 5000 {
		fs := vfs.NewSim(free)
		j, err := Open("d", options(fs), &recorder{})
		if err != nil {
			continue // not even a header fits
		}
		var want []string
		for i := range 12 {
			_, err = j.Append([]byte(payload(i)))
			if err != nil {
				break
			}
			want = append(want, payload(i))
		}
		if err != nil {
			require.ErrorIs(t, err, ErrDiskFull)
			fs.SetFreeSpace(-1)
			_, err = j.Append([]byte("later"))
			require.NoError(t, err)
			want = append(want, "later")
		}
		require.NoError(t, j.Close())
		fs.SetFreeSpace(-1)
		fs.Restart(rand.New(rand.NewPCG(uint64(free), 1)))
		var m recorder
		_, err = Open("d", options(fs), &m)
		require.NoError(t, err)
		require.Equal(t, want, m.payloads, free)
	}
}

// A bit of every byte of every file is inverted: the damage is reported with its place, or the records read are correct.
func TestEveryBitFlipIsReportedOrHarmless(t *testing.T) {
	build := func() *vfs.Sim {
		fs := vfs.NewSim(-1)
		appendBatches(fs, 0, 26)
		return fs
	}
	names, err := build().List("d")
	require.NoError(t, err)
	damaged, torn := 0, 0
	for _, name := range names {
		path := filepath.Join("d", name)
		fs := build()
		size := len(fs.Contents(path))
		for at := range size {
			if !fs.FlipBit(path, at, uint(at%8)) {
				break
			}
			var m recorder
			o := options(fs)
			o.ReadOnly = true
			_, err := Open("d", o, &m)
			for i, p := range m.payloads {
				require.Equal(t, payload(i), p, "%s, byte %d", name, at)
			}
			var d *DamageError
			switch {
			case errors.As(err, &d):
				require.ErrorIs(t, err, ErrDamaged)
				require.Contains(t, d.Error(), "damaged at offset")
				damaged++
			case err != nil:
				require.NoError(t, err, "%s, byte %d", name, at)
			case len(m.payloads) < 27:
				// Only the batch that was synced last has nothing behind it that proves that it was.
				require.GreaterOrEqual(t, len(m.payloads), 25, "%s, byte %d", name, at)
				torn++
			}
			fs.FlipBit(path, at, uint(at%8))
		}
	}
	require.Greater(t, damaged, 500)
	t.Logf("%d flips reported as damage, %d read as a torn tail", damaged, torn)
}

func TestMissingSegmentIsDamage(t *testing.T) {
	fs := vfs.NewSim(-1)
	appendBatches(fs, 0, 40)
	names, err := fs.List("d")
	require.NoError(t, err)
	var logs []string
	for _, n := range names {
		if strings.HasSuffix(n, ".log") {
			logs = append(logs, n)
		}
	}
	require.Greater(t, len(logs), 2)
	require.NoError(t, fs.Remove(filepath.Join("d", logs[len(logs)-2])))
	fs.Restart(nil)
	_, err = Open("d", options(fs), &recorder{})
	require.ErrorIs(t, err, ErrDamaged)
}

// On the machine's disk: concurrent writers share syncs, a second process is refused, and a truncated segment is damage.
func TestConcurrentWritersOnRealDisk(t *testing.T) {
	dir := t.TempDir()
	o := Options{Clock: clock.System(), BatchDelay: 1}
	j, err := Open(dir, o, &recorder{})
	require.NoError(t, err)
	_, err = Open(dir, o, &recorder{})
	require.ErrorIs(t, err, vfs.ErrLocked)
	var wait sync.WaitGroup
	numbers := make([]uint64, 200)
	for i := range numbers {
		wait.Add(1)
		go func() {
			defer wait.Done()
			var err error
			numbers[i], err = j.Append(fmt.Appendf(nil, "%d", i))
			if err != nil {
				t.Error(err)
			}
		}()
	}
	wait.Wait()
	_, err = j.Append(make([]byte, MaxRecordSize+1))
	require.ErrorIs(t, err, ErrRecordTooLarge)
	require.NoError(t, j.Close())
	require.Less(t, j.Stats().Syncs, int64(200), "writers share syncs")
	var m recorder
	j, err = Open(dir, o, &m)
	require.NoError(t, err)
	for i, n := range numbers {
		require.Equal(t, fmt.Sprint(i), m.payloads[n-1])
	}
	require.NoError(t, j.Close())
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	info, err := os.Stat(logs[0])
	require.NoError(t, err)
	require.NoError(t, os.Truncate(logs[0], info.Size()-3))
	_, err = Open(dir, o, &recorder{})
	require.ErrorIs(t, err, ErrDamaged, "a segment that is not the last was complete once")
}

func FuzzSegment(f *testing.F) {
	good := appendHeader(nil, 1)
	for i := range 4 {
		good = appendRecord(good, uint64(i+1), uint64(i/2*2+1), []byte(payload(i)))
	}
	f.Add(good, true)
	f.Add(good[:len(good)-5], true)
	f.Add(bytes.Replace(good, []byte("record 1"), []byte("record 7"), 1), false)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		end, next, err := scan("f", b, last, func(uint64, []byte) error { return nil })
		require.LessOrEqual(t, end, len(b))
		if err == nil {
			first, _ := readHeader(b)
			again, same, err := scan("f", b[:end], last, func(uint64, []byte) error { return nil })
			require.NoError(t, err)
			require.Equal(t, [2]uint64{uint64(end), next}, [2]uint64{uint64(again), same})
			require.GreaterOrEqual(t, next, first)
		}
	})
}

// Opening a directory of arbitrary content gives records or an error of one line.
func FuzzDirectory(f *testing.F) {
	fs := vfs.NewSim(-1)
	appendBatches(fs, 0, 10)
	names, _ := fs.List("d")
	for _, n := range names {
		f.Add(fs.Contents(filepath.Join("d", n)), strings.HasSuffix(n, ".snap"))
	}
	f.Fuzz(func(t *testing.T, b []byte, snapshot bool) {
		fs := vfs.NewSim(-1)
		require.NoError(t, fs.MkdirAll("d"))
		name := segmentName(1)
		if snapshot {
			name = snapshotName(7)
		}
		file, err := fs.Create(filepath.Join("d", name))
		require.NoError(t, err)
		_, err = file.Write(b)
		require.NoError(t, err)
		o := options(fs)
		o.ReadOnly = true
		if _, err = Open("d", o, &recorder{}); err != nil {
			require.NotContains(t, err.Error(), "\n")
		}
	})
}
