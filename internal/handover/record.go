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

var (
	// errFenced says that another process owns the address by now, whose record this one must not overwrite.
	errFenced = errors.New("another process owns the address")
	// errRecordLocked says that another process has had the record locked for too long.
	errRecordLocked = errors.New("another process is writing the record")
	// errTooManyDrained says that maxDrained servers are drained already.
	errTooManyDrained = fmt.Errorf("at most %d servers can be drained manually", maxDrained)
)

const (
	maxDrained    = 1024     // servers that operators drain
	maxRecordSize = 64 << 10 // bytes
	// restoredRetention is how many ms a restored server is remembered, which is long after it has warmed up.
	restoredRetention = 600_000

	recordLockAttempts = 20
	recordLockDelay    = 5 * time.Millisecond
)

// ownerRecord is what an owner stores for the next one.
type ownerRecord struct {
	Generation uint64   `json:"generation"`
	Drained    []string `json:"out"` // servers that operators drain
	// Restored are the servers whose manual drain ended lately, and when in ms: they warm up from then on.
	Restored map[string]float64 `json:"back,omitempty"`
	// Epoch is of the clock that these times are on; 0: unknown.
	Epoch float64 `json:"epoch,omitempty"`
}

// onClock returns the record with its times, in ms, moved from the clock of its Epoch onto another clock of this machine.
func (o ownerRecord) onClock(c *clock.Clock) ownerRecord {
	shift := c.Shift(o.Epoch)
	restored := make(map[string]float64, len(o.Restored))
	for name, at := range o.Restored {
		restored[name] = at + shift
	}
	o.Restored = restored
	o.Epoch, _ = c.Epoch()
	return o
}

// validate checks a record that came from a file or a process, neither of which is trusted.
func (o ownerRecord) validate() error {
	if _, err := parseIDs(o.Drained); err != nil {
		return err
	}
	_, err := parseIDs(slices.Collect(maps.Keys(o.Restored)))
	return err
}

func parseIDs(names []string) (ids []policy.ServerID, err error) {
	if len(names) > maxDrained {
		return nil, fmt.Errorf("%d servers are more than %d", len(names), maxDrained)
	}
	for _, name := range names {
		id, ok := serverlist.ParseID(name)
		if !ok {
			return nil, fmt.Errorf("%q is no server's id", name)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// record is the owner's record, in memory and in a file that outlives the process. The file is replaced atomically, and a
// write is fenced: it fails once a higher generation is recorded. Nothing is synced, because what a crash of the machine would
// lose concerns processes that it ends too.
type record struct {
	path  string
	clock *clock.Clock

	mu      sync.Mutex
	current ownerRecord
	dirty   bool // current has not been written to the file
}

// load reads the file. An unusable file counts as none.
func (r *record) load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, err := r.read()
	if err == nil {
		r.current = stored
	}
	return err
}

// read returns the file's content, empty if there is no file.
func (r *record) read() (stored ownerRecord, err error) {
	text, err := os.ReadFile(r.path)
	if errors.Is(err, os.ErrNotExist) {
		return stored, nil
	}
	if err == nil && len(text) > maxRecordSize {
		err = fmt.Errorf("%s: larger than %d bytes", r.path, maxRecordSize)
	}
	if err == nil {
		if err = json.Unmarshal(text, &stored); err != nil {
			err = fmt.Errorf("%s: %w", r.path, err)
		}
	}
	if err == nil {
		err = stored.validate()
	}
	if err != nil {
		return ownerRecord{}, err
	}
	return stored.onClock(r.clock), nil
}

// drainedServers returns the servers that operators drain.
func (r *record) drainedServers() []policy.ServerID {
	r.mu.Lock()
	defer r.mu.Unlock()
	ids, _ := parseIDs(r.current.Drained)
	return ids
}

// restoredServers returns the servers whose manual drain ended lately, and when in ms.
func (r *record) restoredServers() map[policy.ServerID]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	servers := map[policy.ServerID]float64{}
	for name, at := range r.current.Restored {
		if id, ok := serverlist.ParseID(name); ok {
			servers[id] = at
		}
	}
	return servers
}

// restoredNames returns the same by the servers' names.
func (r *record) restoredNames() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.current.Restored)
}

// claim writes the record under a generation, unless one as high is recorded: then it returns that one with errFenced. It
// returns errRecordLocked, or the error of a write that failed, too.
func (r *record) claim(generation uint64) (recorded uint64, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	unlock, err := r.lockFile()
	if err != nil {
		return 0, err
	}
	defer unlock()
	if stored, readErr := r.read(); readErr == nil && stored.Generation >= generation {
		return stored.Generation, errFenced
	}
	next := r.current
	next.Generation = generation
	return generation, r.replaceFile(next)
}

// setDrained records that an operator drains a server, or no longer does, from now in ms on. Its errors are errFenced,
// errRecordLocked, errTooManyDrained and those of the write. After errRecordLocked and a failed write the change is in effect in memory, and
// is written later.
func (r *record) setDrained(id policy.ServerID, drained bool, now float64) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := serverlist.FormatID(id)
	if slices.Contains(r.current.Drained, name) == drained {
		if r.dirty {
			return r.write(r.current)
		}
		return nil
	}
	next := r.current.withoutServer(name, now)
	next.Epoch, _ = r.clock.Epoch()
	if !drained && len(next.Restored) < maxDrained {
		next.Restored[name] = now
	}
	if drained {
		if next.Drained = append(next.Drained, name); len(next.Drained) > maxDrained {
			return errTooManyDrained
		}
	}
	return r.write(next)
}

// withoutServer returns a copy of the record without a server, and without servers that were restored too long ago.
func (o ownerRecord) withoutServer(server string, now float64) ownerRecord {
	next := ownerRecord{Generation: o.Generation, Restored: map[string]float64{}}
	next.Drained = slices.DeleteFunc(slices.Clone(o.Drained), func(name string) bool { return name == server })
	for name, at := range o.Restored {
		if name != server && now-at < restoredRetention {
			next.Restored[name] = at
		}
	}
	return next
}

// setDrainedInMemory changes a drain in memory alone: the owner has recorded it, or will.
func (r *record) setDrainedInMemory(id policy.ServerID, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := serverlist.FormatID(id)
	r.current.Drained = slices.DeleteFunc(r.current.Drained, func(name string) bool { return name == server })
	if drained && len(r.current.Drained) < maxDrained {
		r.current.Drained = append(r.current.Drained, server)
	}
}

// replaceInMemory takes over, in memory alone, all drains and restored servers that the owner has recorded.
func (r *record) replaceInMemory(received ownerRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	received = received.onClock(r.clock)
	r.current.Drained, r.current.Restored, r.current.Epoch = slices.Clone(received.Drained), received.Restored, received.Epoch
}

// retryWrite writes the record if that failed before.
func (r *record) retryWrite() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty {
		return nil
	}
	return r.write(r.current)
}

// write replaces the record, unless a higher generation is recorded: then it returns errFenced, as another process took the address
// while this one was suspended. After any other error the record is in effect in memory, and retryWrite writes it. The caller
// holds mu.
func (r *record) write(next ownerRecord) error {
	unlock, err := r.lockFile()
	if err != nil {
		r.current, r.dirty = next, true
		return err
	}
	defer unlock()
	if stored, err := r.read(); err == nil && stored.Generation > next.Generation {
		r.dirty = false // the owner's record replaces it
		return errFenced
	}
	return r.replaceFile(next)
}

// lockFile lets one process at a time read and replace the record. A process suspended in between holds the lock; it would
// otherwise resume and replace what its successor has recorded. It returns errRecordLocked if the lock does not become free.
func (r *record) lockFile() (unlock func(), err error) {
	f, err := os.OpenFile(r.path+lockExtension, os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, err
	}
	for range recordLockAttempts {
		if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
			return func() { f.Close() }, nil
		}
		time.Sleep(recordLockDelay)
	}
	f.Close()
	return nil, errRecordLocked
}

// replaceFile writes a record and renames it into place. The caller holds the file's lock.
func (r *record) replaceFile(next ownerRecord) error {
	text, err := json.Marshal(next)
	if err != nil {
		return err
	}
	partial := r.path + ".part"
	if err = os.WriteFile(partial, text, 0o600); err == nil {
		err = os.Rename(partial, r.path)
	}
	r.current, r.dirty = next, err != nil
	return err
}
