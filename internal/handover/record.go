package handover

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// errFenced says that another process owns by now: what this one would keep would undo what that one kept.
var errFenced = errors.New("another process owns the address")

// errHeld says that another process has been about to keep something for too long.
var errHeld = errors.New("another process is keeping what it was told")

// mostOut bounds what is taken out by hand, and what a record may say.
const mostOut, mostRecord = 1024, 64 << 10

// record is what an owner keeps, under its generation: which servers are out by hand. It lies in the directory that
// outlives the process. It is replaced whole; nothing is forced to the disk, as what a machine loses with its memory it
// loses with its processes.
type record struct {
	path  string
	clock *clock.Clock
	mu    sync.Mutex
	kept  kept
	// behind: the file does not say yet what kept says, as it could not be written. See catchUp.
	behind bool
}

type kept struct {
	Generation uint64   `json:"generation"`
	Out        []string `json:"out"`
	// Back are servers that were given back lately, and when in ms: cold from then on.
	Back map[string]float64 `json:"back,omitempty"`
	// Epoch is of the clock that these times are on; 0: not told.
	Epoch float64 `json:"epoch,omitempty"`
}

// dated returns the same with its times on another clock of this machine.
func (k kept) dated(c *clock.Clock) kept {
	shift := c.Shift(k.Epoch)
	back := make(map[string]float64, len(k.Back))
	for name, at := range k.Back {
		back[name] = at + shift
	}
	k.Back = back
	k.Epoch, _ = c.Epoch()
	return k
}

// backFor: ms after which a server that was given back is no longer told of; it is warm long before.
const backFor = 600_000

// check holds what a file or a process tells to its form.
func (k kept) check() error {
	if _, err := ids(k.Out); err != nil {
		return err
	}
	_, err := ids(slices.Collect(maps.Keys(k.Back)))
	return err
}

// load reads the record. One that can't be used counts as none: it is not worth a start.
func (r *record) load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	k, err := r.read()
	if err == nil {
		r.kept = k
	}
	return err
}

func (r *record) read() (k kept, err error) {
	text, err := os.ReadFile(r.path)
	if errors.Is(err, os.ErrNotExist) {
		return k, nil
	}
	if err == nil && len(text) > mostRecord {
		err = fmt.Errorf("%s: larger than a record can be", r.path)
	}
	if err == nil {
		if err = json.Unmarshal(text, &k); err != nil {
			err = fmt.Errorf("%s: %w", r.path, err)
		}
	}
	if err == nil {
		err = k.check()
	}
	if err != nil {
		return kept{}, err
	}
	return k.dated(r.clock), nil
}

// ids reads names of servers, as untrusted as the file or process that they came from.
func ids(names []string) (list []policy.CacheID, err error) {
	if len(names) > mostOut {
		return nil, fmt.Errorf("%d servers out by hand are more than %d", len(names), mostOut)
	}
	for _, n := range names {
		id, ok := serverlist.ParseID(n)
		if !ok {
			return nil, fmt.Errorf("%q is no server's id", n)
		}
		list = append(list, id)
	}
	return list, nil
}

// out are the servers that are out by hand.
func (r *record) out() []policy.CacheID {
	r.mu.Lock()
	defer r.mu.Unlock()
	list, _ := ids(r.kept.Out)
	return list
}

// claim keeps what is known under a generation, unless one as high is kept; it returns the one that is.
func (r *record) claim(generation uint64) (kept uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	done, err := r.alone()
	if err != nil {
		return 0, err
	}
	defer done()
	if now, rerr := r.read(); rerr == nil && now.Generation >= generation {
		return now.Generation, errFenced
	}
	next := r.kept
	next.Generation = generation
	return generation, r.replaceFile(next)
}

// catchUp writes what could not be written when it was told.
func (r *record) catchUp() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.behind {
		return nil
	}
	return r.write(r.kept)
}

const (
	claimTries = 20
	claimPause = 5 * time.Millisecond
)

// alone has one process at a time read and replace the record. Guards against an owner that is stopped between the two,
// and would replace on waking what its successor kept: whoever comes meanwhile is told that it can't be done now.
func (r *record) alone() (done func(), err error) {
	f, err := os.OpenFile(r.path+".lock", os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for range claimTries {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return func() { f.Close() }, nil
		}
		time.Sleep(claimPause)
	}
	f.Close()
	return nil, errHeld
}

// back are the servers that were given back lately.
func (r *record) back() map[policy.CacheID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := map[policy.CacheID]float64{}
	for name, at := range r.kept.Back {
		if id, ok := serverlist.ParseID(name); ok {
			list[id] = at
		}
	}
	return list
}

func (r *record) backNames() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.kept.Back)
}

// put keeps that a server is out, or no longer, from now on.
func (r *record) put(id policy.CacheID, out bool, now float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serverlist.FormatID(id)
	if slices.Contains(r.kept.Out, name) == out {
		if r.behind {
			return r.write(r.kept)
		}
		return nil
	}
	next := kept{Generation: r.kept.Generation, Back: map[string]float64{}}
	next.Epoch, _ = r.clock.Epoch()
	next.Out = slices.DeleteFunc(slices.Clone(r.kept.Out), func(n string) bool { return n == name })
	for n, at := range r.kept.Back {
		if n != name && now-at < backFor {
			next.Back[n] = at
		}
	}
	if !out && len(next.Back) < mostOut {
		next.Back[name] = now
	}
	if out {
		if next.Out = append(next.Out, name); len(next.Out) > mostOut {
			return fmt.Errorf("no more than %d servers can be out by hand", mostOut)
		}
	}
	return r.write(next)
}

// note takes in what the owner has kept, in this process's memory alone.
func (r *record) note(id policy.CacheID, out bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serverlist.FormatID(id)
	r.kept.Out = slices.DeleteFunc(r.kept.Out, func(n string) bool { return n == name })
	if out && len(r.kept.Out) < mostOut {
		r.kept.Out = append(r.kept.Out, name)
	}
}

// replace takes in all that the owner has kept.
func (r *record) replace(told kept) {
	r.mu.Lock()
	defer r.mu.Unlock()
	told = told.dated(r.clock)
	r.kept.Out, r.kept.Back, r.kept.Epoch = slices.Clone(told.Out), told.Back, told.Epoch
}

// write replaces the record. Guards against an owner that was stopped and wakes up late: it finds a higher generation.
// What can't be written is in force in this process's memory, and written later.
func (r *record) write(next kept) error {
	done, err := r.alone()
	if err != nil {
		r.kept, r.behind = next, true
		return err
	}
	defer done()
	if now, err := r.read(); err == nil && now.Generation > next.Generation {
		r.behind = false // it is for the owner to keep
		return errFenced
	}
	return r.replaceFile(next)
}

func (r *record) replaceFile(next kept) error {
	text, err := json.Marshal(next)
	if err != nil {
		return err
	}
	part := r.path + ".part" // written by one process at a time
	if err = os.WriteFile(part, text, 0o600); err == nil {
		err = os.Rename(part, r.path)
	}
	r.kept, r.behind = next, err != nil
	return err
}
