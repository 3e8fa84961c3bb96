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
	// Serve is how long a transfer to the proxy takes, Fill how much longer one that must be fetched does, in ms. 0:
	// at once.
	Serve, Fill float64
	// PurgeTakes: caches and parents drop what was purged so many ms later.
	PurgeTakes float64
	// Held bounds the copies of one cache or parent.
	Held int
	// Window: the origin drops the repeat of a write with a key for so many ms.
	Window float64
}

// Fleet is all servers.
type Fleet struct {
	opt Options

	mu      sync.Mutex
	servers map[policy.CacheID]*Server
	objects map[string]float64 // when purged last
	groups  map[int]float64
	seen    []Seen
	forgot  int                // how many were seen before those
	runs    map[string]int     // of writes, by request id, and of those with a key by that
	ran     map[string]float64 // when a write with a key ran last
}

// Seen is one attempt as a server saw it.
type Seen struct {
	At      float64 // when it had come whole
	Server  policy.CacheID
	ID      string
	Class   string
	Object  string
	Part    int
	Source  policy.CacheID // where a miss was to be filled from; the server itself: nowhere
	Newest  float64        // the oldest copy that would do was made then; 0: any
	Left    float64        // ms that were told to be left for it
	Probe   bool
	Write   bool
	Key     string // the idempotency key that came with it
	Answer  string
	Why     string  // how the answer came about, as it is told
	Stamp   float64 // of the copy that was served
	Address string
}

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.Held <= 0 {
		o.Held = 4096
	}
	return &Fleet{
		opt: o, servers: map[policy.CacheID]*Server{}, objects: map[string]float64{}, groups: map[int]float64{},
		runs: map[string]int{}, ran: map[string]float64{},
	}
}

// Start brings a server up at an address; port 0 is one from the kernel.
func (f *Fleet) Start(id policy.CacheID, role Role, addr string) (*Server, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("server %s: %w", serverlist.Name(id), err)
	}
	s := &Server{fleet: f, ID: id, Role: role, ln: ln, conns: map[*conn]struct{}{}, copies: map[key]*held{}}
	f.mu.Lock()
	f.servers[id] = s
	f.mu.Unlock()
	go s.accept()
	return s, nil
}

// StartList brings up a server for each entry of a list, at its address.
func (f *Fleet) StartList(set *serverlist.Set, parentKind, originKind string) error {
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
	at = f.opt.Clock.Now()
	if object != "" {
		f.objects[object] = at
	} else {
		f.groups[group] = at
	}
	f.mu.Unlock()
	f.opt.Clock.After(f.opt.PurgeTakes, func() {
		f.mu.Lock()
		all := make([]*Server, 0, len(f.servers))
		for _, s := range f.servers {
			all = append(all, s)
		}
		f.mu.Unlock()
		for _, s := range all {
			s.drop(func(k key, c *held) bool {
				return c.stamp <= at && (object != "" && k.object == object || object == "" && Group(k.object) == group)
			})
		}
	})
	return at
}

// Seen is all that the servers saw so far, in the order in which it came.
func (f *Fleet) Seen() []Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.seen)
}

// SeenAfter is what came after the first n.
func (f *Fleet) SeenAfter(n int) []Seen {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.seen[min(n, len(f.seen)):])
}

// Forget drops what the servers saw so far: over a long day it would be the most that is held.
func (f *Fleet) Forget() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.forgot += len(f.seen)
	f.seen = nil
}

// RanTwice are the requests that write and ran more than once.
func (f *Fleet) RanTwice() (ids []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id, n := range f.runs {
		if n > 1 {
			ids = append(ids, id+" "+strconv.Itoa(n)+" times")
		}
	}
	slices.Sort(ids)
	return ids
}

// run runs a write at the origin, or drops it as the repeat of one with the same key.
func (f *Fleet) run(id, key string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if key == "" {
		f.runs[id]++
		return
	}
	now := f.opt.Clock.Now()
	if at, before := f.ran[key]; before && now < at+f.opt.Window {
		return
	}
	f.ran[key] = now
	f.runs["key "+key]++
}

// Ran is how many writes ran.
func (f *Fleet) Ran() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.runs)
}

func (f *Fleet) saw(s Seen) (at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.seen = append(f.seen, s)
	return f.forgot + len(f.seen) - 1
}

func (f *Fleet) answered(at int, word, why string, stamp float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at -= f.forgot; at >= 0 {
		f.seen[at].Answer, f.seen[at].Why, f.seen[at].Stamp = word, why, stamp
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
	for _, s := range f.seen {
		c := by[s.Server]
		switch {
		case s.Probe:
			c.Probes++
			continue
		case s.Source != s.Server && by[s.Source] != nil && s.Answer == "served":
			by[s.Source].Named++
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
	Server                          policy.CacheID
	Role                            Role
	Attempts, Served, Named, Probes int
}
