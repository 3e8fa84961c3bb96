package capacity

import (
	"fmt"
	"os"
	"path/filepath"
	"runtime"
)

// Recorder measures the recordings of one file.
type Recorder struct {
	Name    string // of the file, without .json
	About   string // what is measured, in one sentence
	Measure func() ([]Recording, error)
}

// Recorders are all recorders. Each takes some seconds, runs in this process and opens no socket. Files and recordings are stored
// under these names, in which "ledger" is decide/membership and "replica" is decide/storestate.
var Recorders = []Recorder{
	{"policy", "The module alone: its memory, and the processor that one change or purge takes.", recordPolicy},
	{"ledger", "The ledger of servers (decide/membership) alone, told by one source.", recordMembership},
	{"replica", "What the store's log adds up to (decide/storestate): its memory, its snapshot, the cost of taking in an entry.", recordStoreState},
	{"view", "The view in common (decide/fleetview) and the whole state that two members exchange (memberlist, in memory).", recordFleetView},
	{"journal", "What a proxy's journal writes for purges, on a file system in memory.", recordJournal},
	{"raft", "One leader and 1 to 8 non-voting followers of hashicorp/raft in one process, over pipes, without TLS and without a disk.", recordRaft},
	{"lists", "Lists as they are told and shown: the notice board's, a list file, the tables of the operators' tools.", recordLists},
}

// recordCommand is the command that runs a recorder.
func recordCommand(name string) string { return "ravenlab capacity record " + name }

// Record runs a recorder, writes its file into a directory, and returns the file with the fits.
func (r Recorder) Record(dir, machine string) (File, error) {
	recordings, err := r.Measure()
	if err != nil {
		return File{}, fmt.Errorf("running recorder %s: %w", r.Name, err)
	}
	for i := range recordings {
		recordings[i].Command = recordCommand(r.Name)
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return File{}, err
	}
	path := filepath.Join(dir, r.Name+".json")
	if err := Save(path, File{About: r.About, Machine: machine, Recordings: recordings}); err != nil {
		return File{}, err
	}
	return ReadFile(path)
}

// Machine describes what affects timings on this machine.
func Machine() string {
	return fmt.Sprintf("%s/%s, %d cores of which %d were used, %s; the machine was shared with other work", runtime.GOOS, runtime.GOARCH,
		runtime.NumCPU(), runtime.GOMAXPROCS(0), runtime.Version())
}
