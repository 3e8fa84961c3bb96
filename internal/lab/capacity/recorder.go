package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"

	"golang.org/x/sys/unix"
)

// Recorder makes one file of recordings.
type Recorder struct {
	Name    string // of the file, without .json
	About   string
	Measure func() ([]Recording, error)
}

// Recorders are all of them. Each takes some seconds, runs in this process and opens no socket.
var Recorders = []Recorder{
	{"policy", "The module alone: its memory, and the processor that one change or purge takes.", recordPolicy},
	{"ledger", "The ledger of servers (decide/membership) alone, told by one source.", recordMembership},
	{"replica", "What the store's log adds up to (decide/storestate): its memory, its snapshot, the cost of taking in an entry.", recordStoreState},
	{"view", "The view in common (decide/fleetview) and the whole state that two members exchange (memberlist, in memory).", recordFleetView},
	{"journal", "What a proxy's journal writes for purges, on a file system in memory.", recordJournal},
	{"raft", "One leader and 1 to 8 non-voting followers of hashicorp/raft in one process, over pipes, without TLS and without a disk.", recordRaft},
	{"lists", "Lists as they are told and shown: the notice board's, a list file, the tables of the operators' tools.", recordLists},
}

// command makes a recording again.
func recordCommand(name string) string { return "ravenlab capacity record " + name }

// Record runs a recorder and writes its file.
func (r Recorder) Record(dir, machine string) (File, error) {
	made, err := r.Measure()
	if err != nil {
		return File{}, fmt.Errorf("%s: %w", r.Name, err)
	}
	for i := range made {
		made[i].Command = recordCommand(r.Name)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return File{}, err
	}
	path := filepath.Join(dir, r.Name+".json")
	if err := Save(path, File{About: r.About, Machine: machine, Recordings: made}); err != nil {
		return File{}, err
	}
	return ReadFile(path)
}

// Machine says what a recording ran on, as far as it matters to a timing.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d cores of which %d were used, %s; the machine was shared with other work", runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), runtime.GOMAXPROCS(0), runtime.Version())
}

// sizes span a factor of 30 and more: what grows faster than it should shows.
var defaultSizes = []int{100, 300, 1000, 3000, 10_000}

// heap is what a value that make returns keeps alive, in bytes.
func heapBytes(make func() any) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&before)
	held := make()
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&after)
	runtime.KeepAlive(held)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// processor is what this process has used so far, in us. Collections of garbage are in it; time spent waiting for a busy
// machine is not.
func cpuMicros() float64 {
	var usage unix.Rusage
	_ = unix.Getrusage(unix.RUSAGE_SELF, &usage) // can't fail with these arguments
	us := func(t unix.Timeval) float64 { return float64(t.Sec)*1e6 + float64(t.Usec) }
	return us(usage.Utime) + us(usage.Stime)
}

// costRounds: the median of so many is taken, each of at least costRound us.
const cpuRounds, minRoundMicros = 5, 40_000

// cost is the processor time of one call of do, in us: the median of some rounds.
func cpuCost(do func(i int)) float64 {
	i, calls := 0, 1
	once := func() float64 {
		start := cpuMicros()
		for range calls {
			do(i)
			i++
		}
		return cpuMicros() - start
	}
	for once() < minRoundMicros && calls < 1<<24 {
		calls *= 2
	}
	var took []float64
	for range cpuRounds {
		took = append(took, once()/float64(calls))
	}
	slices.Sort(took)
	return took[len(took)/2]
}

// over measures at each size.
func measureSizes(sizes []int, measure func(n int) float64) (points []Point) {
	for _, n := range sizes {
		points = append(points, Point{float64(n), roundSignificant(measure(n))})
	}
	return points
}
