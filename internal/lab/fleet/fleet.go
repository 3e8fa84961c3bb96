package fleet

import (
	"cmp"
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Role is what a server is.
type Role int

// The roles.
const (
	Cache Role = iota
	Parent
	Origin
)

// Options set up a fleet.
type Options struct {
	Clock *clock.Clock
	// TransferTime is how long a transfer to the proxy takes, FillTime how much longer one that must be fetched does, in ms. 0:
	// at once.
	TransferTime, FillTime float64
	// PurgeDelay: caches and parents drop what was purged so many ms later.
	PurgeDelay float64
	// MaxCopies bounds the copies of one cache or parent.
	MaxCopies int
	// IdempotencyWindow: the origin drops the repeat of a write with a key for so many ms.
	IdempotencyWindow float64
}

// Fleet is all servers.
type Fleet struct {
	options Options

	mu           sync.Mutex
	servers      map[policy.CacheID]*Server
	objectPurges map[string]float64 // when purged last
	groupPurges  map[int]float64
	observations []Observation
	discarded    int                // how many were seen before those
	writeRuns    map[string]int     // of writes, by request id, and of those with a key by that
	lastKeyedRun map[string]float64 // when a write with a key ran last
}

// Observation is one attempt as a server saw it.
type Observation struct {
	At            float64 // when it had come whole
	Server        policy.CacheID
	RequestID     string
	Class         string
	Object        string
	Part          int
	Source        policy.CacheID // where a miss was to be filled from; the server itself: nowhere
	OldestAllowed float64        // the oldest copy that would do was made then; 0: any
	RemainingMs   float64        // ms that were told to be left for it
	Probe         bool
	Write         bool
	Key           string // the idempotency key that came with it
	Answer        string
	Why           string  // how the answer came about, as it is told
	Stamp         float64 // of the copy that was served
	Address       string
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.MaxCopies <= 0 {
		o.MaxCopies = 4096
	}
	return &Fleet{
		options: o, servers: map[policy.CacheID]*Server{}, objectPurges: map[string]float64{}, groupPurges: map[int]float64{},
		writeRuns: map[string]int{}, lastKeyedRun: map[string]float64{},
	}
}

// Start brings a server up at an address; port 0 is one from the kernel.
func (f *Fleet) Start(id policy.CacheID, role Role, addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", serverlist.FormatID(id), err)
	}
	s := &Server{fleet: f, ID: id, Role: role, ln: ln, conns: map[*conn]struct{}{}, copies: map[partKey]*cachedCopy{}}
	f.mu.Lock()
	f.servers[id] = s
	f.mu.Unlock()
	go s.accept()
	return s, nil
}

// StartList brings up a server for each entry of a list, at its address.
func (f *Fleet) StartList(set *serverlist.List, parentKind, originKind string) error {
	for _, x := range set.Servers {
		if f.Server(x.ID) != nil {
			continue
		}
		role := Cache
		switch x.Kind {
		case parentKind:
			role = Parent
		case originKind:
			role = Origin
		}
		if _, err := f.Start(x.ID, role, x.Addr); err != nil {
			return err
		}
	}
	return nil
}

// Server finds one; nil if there is none.
func (f *Fleet) Server(id policy.CacheID) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// Close ends all servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	all := make([]*Server, 0, len(f.servers))
	for _, s := range f.servers {
		all = append(all, s)
	}
	f.mu.Unlock()
	for _, s := range all {
		s.Kill()
	}
}

// Purge voids what the origin made of an object, or of a group with no object, up to now. Copies lie about for a while.
func (f *Fleet) Purge(object string, group int) (at float64) {
	f.mu.Lock()
	at = f.options.Clock.Now()
	if object != "" {
		f.objectPurges[object] = at
	} else {
		f.groupPurges[group] = at
	}
	f.mu.Unlock()
	f.options.Clock.After(f.options.PurgeDelay, func() {
		f.mu.Lock()
		all := make([]*Server, 0, len(f.servers))
		for _, s := range f.servers {
			all = append(all, s)
		}
		f.mu.Unlock()
		for _, s := range all {
			s.dropCopies(func(k partKey, c *cachedCopy) bool {
				return c.stamp <= at && (object != "" && k.object == object || object == "" && Group(k.object) == group)
			})
		}
	})
	return at
}

// Observations is all that the servers saw so far, in the order in which it came.
func (f *Fleet) Observations() []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations)
}

// ObservationsAfter is what came after the first n.
func (f *Fleet) ObservationsAfter(n int) []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations[min(n, len(f.observations)):])
}

// DiscardObservations drops what the servers saw so far: over a long day it would be the most that is held.
func (f *Fleet) DiscardObservations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded += len(f.observations)
	f.observations = nil
}

// DuplicateWrites are the requests that write and ran more than once.
func (f *Fleet) DuplicateWrites() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.writeRuns {
		if n > 1 {
			ids = append(ids, id+" "+strconv.Itoa(n)+" times")
		}
	}
	slices.Sort(ids)
	return ids
}

// runWrite runs a write at the origin, or drops it as the repeat of one with the same key.
func (f *Fleet) runWrite(id, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key == "" {
		f.writeRuns[id]++
		return
	}
	now := f.options.Clock.Now()
	if at, before := f.lastKeyedRun[key]; before && now < at+f.options.IdempotencyWindow {
		return
	}
	f.lastKeyedRun[key] = now
	f.writeRuns["key "+key]++
}

// WritesRun is how many writes ran.
func (f *Fleet) WritesRun() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.writeRuns)
}

func (f *Fleet) observe(s Observation) (at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, s)
	return f.discarded + len(f.observations) - 1
}

func (f *Fleet) recordAnswer(at int, word, why string, stamp float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at -= f.discarded; at >= 0 {
		f.observations[at].Answer, f.observations[at].Why, f.observations[at].Stamp = word, why, stamp
	}
}

// Counts are how many attempts each server saw, by id.
func (f *Fleet) Counts() []Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[policy.CacheID]*Count{}
	for id, s := range f.servers {
		by[id] = &Count{Server: id, Role: s.Role}
	}
	for _, s := range f.observations {
		c := by[s.Server]
		switch {
		case s.Probe:
			c.Probes++
			continue
		case s.Source != s.Server && by[s.Source] != nil && s.Answer == "served":
			by[s.Source].NamedAsSource++
		}
		if c.Attempts++; s.Answer == "served" {
			c.Served++
		}
	}
	out := make([]Count, 0, len(by))
	for _, c := range by {
		out = append(out, *c)
	}
	slices.SortFunc(out, func(a, b Count) int { return cmp.Compare(a.Server, b.Server) })
	return out
}

// Count is what one server saw.
type Count struct {
	Server                                  policy.CacheID
	Role                                    Role
	Attempts, Served, NamedAsSource, Probes int
}
