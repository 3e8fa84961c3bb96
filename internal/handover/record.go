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
	// errFenced means that another process owns the address by now. This process must not overwrite that process's record.
	errFenced = errors.New("another process owns the address")
	// errRecordLocked means that another process has kept the record locked for longer than this one waits.
	errRecordLocked = errors.New("owner's record is locked by another process")
	// errTooManyDrained means that the limit of maxDrained manually drained servers is reached.
	errTooManyDrained = fmt.Errorf("at most %d servers can be drained manually", maxDrained)
)

const (
	maxDrained    = 1024     // servers that operators drain
	maxRecordSize = 64 << 10 // bytes
	// restoredRetention is how many ms the record holds a server whose manual drain has ended. A server has warmed up long before
	// the end of this time.
	restoredRetention = 600_000

	recordLockAttempts = 20
	recordLockDelay    = 5 * time.Millisecond
)

// ownerRecord is the record that an owner stores for the next one.
type ownerRecord struct {
	Generation uint64   `json:"generation"`
	Drained    []string `json:"out"` // servers that operators drain
	// Restored are the servers whose manual drain has ended, with the time in ms at which it ended; see restoredRetention. They
	// warm up from that time on.
	Restored map[string]float64 `json:"back,omitempty"`
	// Epoch is the epoch of the clock that gave the times in Restored; 0: unknown.
	Epoch float64 `json:"epoch,omitempty"`
}

// onClock returns the record with its times converted from the clock of its Epoch to another clock of this machine.
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

// validate checks the servers of a record that was read from a file or received from a process, as neither is trusted.
func (o ownerRecord) validate() error {
	if _, err := parseIDs(o.Drained); err != nil {
		return err
	}
	_, err := parseIDs(slices.Collect(maps.Keys(o.Restored)))
	return err
}

// parseIDs parses the ids of at most maxDrained servers.
func parseIDs(names []string) (ids []policy.ServerID, err error) {
	if len(names) > maxDrained {
		return nil, fmt.Errorf("%d servers, but at most %d are allowed", len(names), maxDrained)
	}
	for _, name := range names {
		id, ok := serverlist.ParseID(name)
		if !ok {
			return nil, fmt.Errorf("%q is not a server id", name)
		}
		ids = append(ids, id)
	}
	return ids, nil
}

// record is the owner's record, in memory and in a file that outlives the process. The file is replaced atomically, and writes are
// fenced: they fail once a higher generation is recorded. The file is not synced to disk: a crash of the machine may lose writes,
// but it also ends the processes that they concern.
type record struct {
	path  string
	clock *clock.Clock

	mu      sync.Mutex
	current ownerRecord
	dirty   bool // current has not been written to the file
}

// load loads the record from its file. If that fails, the record in memory stays empty.
func (r *record) load() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	stored, err := r.read()
	if err == nil {
		r.current = stored
	}
	return err
}

// read returns the record in the file, which is empty if there is no file.
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

// restoredServers returns the servers in ownerRecord.Restored, with the time in ms at which each one's manual drain ended.
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

// restoredNames returns the same as restoredServers, by the servers' names.
func (r *record) restoredNames() map[string]float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return maps.Clone(r.current.Restored)
}

// claim writes the record under a generation. If the same or a higher generation is recorded, it returns that one with errFenced.
// It may also return errRecordLocked or the error of a write that failed.
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

// setDrained records that an operator has started or ended the drain of a server; now is in ms. Its errors are errFenced,
// errRecordLocked, errTooManyDrained and those of the write. After errRecordLocked or a failed write the change is in effect in
// memory, and is written later.
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

// withoutServer returns a copy of the record without a server, and without servers that were restored restoredRetention ago or
// earlier.
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

// setDrainedInMemory changes a drain in memory only. The owner has recorded the change, or will.
func (r *record) setDrainedInMemory(id policy.ServerID, drained bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	server := serverlist.FormatID(id)
	r.current.Drained = slices.DeleteFunc(r.current.Drained, func(name string) bool { return name == server })
	if drained && len(r.current.Drained) < maxDrained {
		r.current.Drained = append(r.current.Drained, server)
	}
}

// replaceInMemory replaces, in memory only, all drains and restored servers by those that the owner has sent.
func (r *record) replaceInMemory(received ownerRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	received = received.onClock(r.clock)
	r.current.Drained, r.current.Restored, r.current.Epoch = slices.Clone(received.Drained), received.Restored, received.Epoch
}

// retryWrite writes the record if the last write failed.
func (r *record) retryWrite() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.dirty {
		return nil
	}
	return r.write(r.current)
}

// write replaces the record. If a higher generation is recorded it returns errFenced: another process took the address while this
// one was suspended. After any other error the record is in effect in memory, and retryWrite writes it. The caller holds mu.
func (r *record) write(next ownerRecord) error {
	unlock, err := r.lockFile()
	if err != nil {
		r.current, r.dirty = next, true
		return err
	}
	defer unlock()
	if stored, err := r.read(); err == nil && stored.Generation > next.Generation {
		r.dirty = false // the owner's record counts, and this one is not written any more
		return errFenced
	}
	return r.replaceFile(next)
}

// lockFile locks the record, so that one process at a time reads and replaces it. A process that is suspended in between keeps the
// lock: otherwise it would overwrite its successor's record when it resumes. lockFile returns errRecordLocked if the lock does not
// become free.
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
