package multiprocess_test

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ravenwheel/internal/lab/multiprocess"
)

// program is the binary that the tests start, built once.
var program string

func TestMain(m *testing.M) {
	dir, err := os.MkdirTemp("", "ravenwheel-field-")
	if err == nil {
		program = filepath.Join(dir, "ravenwheel")
		var out []byte
		if out, err = exec.Command("go", "build", "-tags", tags, "-o", program, "ravenwheel/cmd/ravenwheel").CombinedOutput(); err != nil {
			err = fmt.Errorf("%w: %s", err, out)
		}
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	_ = os.RemoveAll(dir)
	os.Exit(code)
}

func start(t *testing.T, o multiprocess.Options) *multiprocess.Field {
	o.Bin, o.Dir = program, t.TempDir()
	f, err := multiprocess.New(o)
	require.NoError(t, err)
	t.Cleanup(f.Close)
	require.NoError(t, f.Start(f.Processes...))
	return f
}

// All processes are restarted, a tenth at a time, while half of the caches are replaced and the notice board moves to an
// address that says nothing at first: no rule is broken, no process fails to start or to end, and of the requests less
// than one in 200 is lost, fails or is refused to the end.
func TestRoll(t *testing.T) {
	t.Parallel()
	f := start(t, multiprocess.Options{Seed: 7, Zones: 2, Processes: 10, Caches: 6, Parents: 2, Serve: 3, Fill: 15})
	stop := f.Traffic(func(*multiprocess.Process) float64 { return 15 })
	replaced := append(f.Caches(0)[:3:3], f.Caches(1)[:3]...)
	tenth := len(f.Processes) / 10
	for step := range 10 {
		if step < len(replaced) {
			require.NoError(t, f.Replace(replaced[step]))
		}
		if step == 4 {
			old, err := f.Move()
			require.NoError(t, err)
			f.Door.Stall(true)
			running := f.Processes
			require.NoError(t, f.Reload(running...))
			require.Eventually(t, func() bool { return f.Door.Calls.Load() >= int64(len(running)) }, multiprocess.ReadyWithin, 10*time.Millisecond)
			old.Close()
			f.Purge("", 17)
			f.Door.Stall(false)
		}
		some := f.Processes[step*tenth : (step+1)*tenth]
		require.NoError(t, f.Stop(some...))
		require.NoError(t, f.Start(some...))
	}
	for _, id := range replaced {
		require.NoError(t, f.Remove(id))
	}
	for z := range 2 {
		require.Len(t, f.Caches(z), 6)
	}
	time.Sleep(time.Second)
	stop()
	sum := f.Sum()
	require.Empty(t, f.Broken())
	require.Greater(t, sum.Served, 2000)
	bad := sum.Lost + sum.Failed + max(0, sum.Rejected-sum.Retried)
	require.LessOrEqual(t, bad, sum.Requested/200, "%+v", sum)
	for _, c := range f.Fleet.Counts() {
		if !slices.Contains(replaced, c.Server) && c.Role == 0 {
			require.Positive(t, c.Attempts, "a cache that came, or stayed, is used: %d", c.Server)
		}
	}
}
