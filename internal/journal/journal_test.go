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

// memoryTarget is a target that keeps all payloads in memory. Its snapshots are the payloads, one a line.
type memoryTarget struct{ payloads []string }

func (m *memoryTarget) Restore(snapshot []byte) error {
	m.payloads = nil
	if len(snapshot) > 0 {
		m.payloads = strings.Split(string(snapshot), "\n")
	}
	return nil
}

func (m *memoryTarget) Replay(_ uint64, payload []byte) error {
	m.payloads = append(m.payloads, string(payload))
	return nil
}

func (m *memoryTarget) state() []byte { return []byte(strings.Join(m.payloads, "\n")) }

// payload returns the payload of record n, counted from 0. Payloads differ in length.
func payload(n int) string { return fmt.Sprintf("record %d %s", n, strings.Repeat("x", n*37%700)) }

func options(fs vfs.FS) Options {
	return Options{FS: fs, Clock: clock.System(), SegmentSize: 3000}
}

// appendBatches appends n records from payload number from on, one batch after another, with snapshots in between, until a call
// fails. It returns how many payloads were acknowledged and how many were attempted, each counted from payload 0.
func appendBatches(fs vfs.FS, from, n int) (acknowledged, attempted int) {
	var target memoryTarget
	j, err := Open("d", options(fs), &target)
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
			target.payloads = append(target.payloads, payload(i+k))
		}
		i += size
		acknowledged = i
		if i%7 == 0 && j.Compact(uint64(len(target.payloads)), target.state()) != nil {
			return acknowledged, attempted
		}
	}
	return acknowledged, attempted
}

// requireRecovered opens the journal and requires that it holds all acknowledged records and after them at most the first ones of
// the other attempted records. It returns how many records there are.
func requireRecovered(t *testing.T, fs vfs.FS, acknowledged, attempted int, scenario string) int {
	t.Helper()
	var target memoryTarget
	j, err := Open("d", options(fs), &target)
	require.NoError(t, err, scenario)
	require.NoError(t, j.Close(), scenario)
	require.GreaterOrEqual(t, len(target.payloads), acknowledged, "%s: an acknowledged record is lost", scenario)
	require.LessOrEqual(t, len(target.payloads), attempted, "%s: a record was returned that was never appended", scenario)
	for i, p := range target.payloads {
		require.Equal(t, payload(i), p, "%s: record %d", scenario, i)
	}
	return len(target.payloads)
}

// The power fails at every call to the file system, with unsynced data torn in several ways. All acknowledged records are
// recovered, and more can be appended after them.
func TestCrashAtEveryCall(t *testing.T) {
	withoutFault := vfs.NewSim(-1)
	appendBatches(withoutFault, 0, 40)
	calls := withoutFault.Calls()
	require.Greater(t, calls, 60)
	for call := 1; call <= calls+1; call++ {
		for seed := range uint64(6) {
			rng := rand.New(rand.NewPCG(seed, uint64(call)))
			scenario := fmt.Sprintf("crash at call %d of %d, seed %d", call, calls, seed)
			fs := vfs.NewSim(-1)
			fs.FailAt(call, vfs.Crash)
			acknowledged, attempted := appendBatches(fs, 0, 40)
			fs.Restart(rng)
			// A second crash happens during the recovery.
			fs.FailAt(fs.Calls()+1+rng.IntN(6), vfs.Crash)
			_, _ = Open("d", options(fs), &memoryTarget{})
			fs.Restart(rng)
			recovered := requireRecovered(t, fs, acknowledged, attempted, scenario)
			fs.FailAt(fs.Calls()+1+rng.IntN(30), vfs.Crash)
			acknowledged, attempted = appendBatches(fs, recovered, 9)
			fs.Restart(rng)
			requireRecovered(t, fs, max(recovered, acknowledged), max(recovered, attempted), scenario+", then a crash after the recovery")
		}
	}
}

// A call to the file system fails, each of the first 80 in turn. All acknowledged records are recovered.
func TestErrorAtEveryCall(t *testing.T) {
	for _, fault := range []vfs.Fault{vfs.IOError, vfs.SyncLost, vfs.ShortWrite} {
		for call := 1; call <= 80; call++ {
			rng := rand.New(rand.NewPCG(uint64(fault), uint64(call)))
			scenario := fmt.Sprintf("fault %d at call %d", fault, call)
			fs := vfs.NewSim(-1)
			fs.FailAt(call, fault)
			acknowledged, attempted := appendBatches(fs, 0, 40)
			fs.Restart(rng)
			recovered := requireRecovered(t, fs, acknowledged, attempted, scenario)
			acknowledged, attempted = appendBatches(fs, recovered, 9)
			fs.Restart(rng)
			requireRecovered(t, fs, max(recovered, acknowledged), max(recovered, attempted), scenario)
		}
	}
}

func TestNoRecordIsAcceptedAfterFailedSync(t *testing.T) {
	fs := vfs.NewSim(-1)
	j, err := Open("d", options(fs), &memoryTarget{})
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
	var target memoryTarget
	_, err = Open("d", options(fs), &target)
	require.NoError(t, err)
	require.Equal(t, "a", target.payloads[0])
}

// A sync fails, the process alone is restarted and reads the unsynced data that the page cache still shows, and then the power
// fails. Records that were acknowledged after the restart must not be lost.
func TestRecoveryAfterFailedSyncAndProcessRestart(t *testing.T) {
	for seed := range uint64(50) {
		fs := vfs.NewSim(-1)
		j, err := Open("d", options(fs), &memoryTarget{})
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
		requireRecovered(t, fs, acknowledged, acknowledged, "failed sync, restart, power failure")
	}
}

// While the disk is full, records are rejected and no acknowledged record is lost. Records are accepted again once there is space.
func TestFullDiskLosesNothingAndRecovers(t *testing.T) {
	for free := range 5000 {
		fs := vfs.NewSim(free)
		j, err := Open("d", options(fs), &memoryTarget{})
		if err != nil {
			continue // there is not enough space for a segment's header
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
		var target memoryTarget
		_, err = Open("d", options(fs), &target)
		require.NoError(t, err)
		require.Equal(t, want, target.payloads, free)
	}
}

// A bit of every byte of every file is inverted in turn: the damage is reported with its offset, or the records read are correct.
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
		for offset := range size {
			if !fs.FlipBit(path, offset, uint(offset%8)) {
				break
			}
			var target memoryTarget
			o := options(fs)
			o.ReadOnly = true
			_, err := Open("d", o, &target)
			for i, p := range target.payloads {
				require.Equal(t, payload(i), p, "%s, byte %d", name, offset)
			}
			var damage *DamageError
			switch {
			case errors.As(err, &damage):
				require.ErrorIs(t, err, ErrDamaged)
				require.Contains(t, damage.Error(), "damaged at offset")
				damaged++
			case err != nil:
				require.NoError(t, err, "%s, byte %d", name, offset)
			case len(target.payloads) < 27:
				// Only the batch that was synced last can be mistaken for a torn write, as no later batch proves that it was
				// synced.
				require.GreaterOrEqual(t, len(target.payloads), 25, "%s, byte %d", name, offset)
				torn++
			}
			fs.FlipBit(path, offset, uint(offset%8))
		}
	}
	require.Greater(t, damaged, 500)
	t.Logf("%d inverted bits reported as damage, %d read as a torn tail", damaged, torn)
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
	_, err = Open("d", options(fs), &memoryTarget{})
	require.ErrorIs(t, err, ErrDamaged)
}

// On the machine's disk, concurrent writers share syncs, a second Open of the directory fails, and a truncated segment is damage.
func TestConcurrentWritersOnRealDisk(t *testing.T) {
	dir := t.TempDir()
	o := Options{Clock: clock.System(), BatchDelay: 1}
	j, err := Open(dir, o, &memoryTarget{})
	require.NoError(t, err)
	_, err = Open(dir, o, &memoryTarget{})
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
	var target memoryTarget
	j, err = Open(dir, o, &target)
	require.NoError(t, err)
	for i, n := range numbers {
		require.Equal(t, fmt.Sprint(i), target.payloads[n-1])
	}
	require.NoError(t, j.Close())
	logs, err := filepath.Glob(filepath.Join(dir, "*.log"))
	require.NoError(t, err)
	info, err := os.Stat(logs[0])
	require.NoError(t, err)
	require.NoError(t, os.Truncate(logs[0], info.Size()-3))
	_, err = Open(dir, o, &memoryTarget{})
	require.ErrorIs(t, err, ErrDamaged, "only the last segment may have a torn tail")
}

// Scanning the intact part of a segment again returns the same offset and record number.
func FuzzSegment(f *testing.F) {
	valid := appendHeader(nil, 1)
	for i := range 4 {
		valid = appendRecord(valid, uint64(i+1), uint64(i/2*2+1), []byte(payload(i)))
	}
	f.Add(valid, true)
	f.Add(valid[:len(valid)-5], true)
	f.Add(bytes.Replace(valid, []byte("record 1"), []byte("record 7"), 1), false)
	f.Fuzz(func(t *testing.T, b []byte, last bool) {
		end, next, err := scan("f", b, last, func(uint64, []byte) error { return nil })
		require.LessOrEqual(t, end, len(b))
		if err == nil {
			first, _ := readHeader(b)
			endAgain, nextAgain, err := scan("f", b[:end], last, func(uint64, []byte) error { return nil })
			require.NoError(t, err)
			require.Equal(t, [2]uint64{uint64(end), next}, [2]uint64{uint64(endAgain), nextAgain})
			require.GreaterOrEqual(t, next, first)
		}
	})
}

// Opening a directory with an arbitrary segment or snapshot returns no error, or an error of one line.
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
		if _, err = Open("d", o, &memoryTarget{}); err != nil {
			require.NotContains(t, err.Error(), "\n")
		}
	})
}
