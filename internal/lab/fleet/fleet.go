// Package fleet provides stand-ins for what a proxy balances over: cache servers, parents, an origin, and the discovery service.
// They speak the platform's protocol on loopback sockets and record each attempt that they receive, so that tests check the
// rules against what arrived and not against what the proxy reports of itself.
package fleet

import (
	"cmp"
	"fmt"
	"maps"
	"net"
	"slices"
	"strconv"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/policy"
)

// Role is the place of a server in the cache hierarchy.
type Role int

// The roles: a cache near the clients, a parent that fills caches, and the origin that makes the content.
const (
	Cache Role = iota
	Parent
	Origin
)

// Options configure a Fleet.
type Options struct {
	Clock *clock.Clock
	// TransferTime is how long, in ms, an answer takes; FillTime is added for each level from which a miss is filled. 0 answers
	// at once.
	TransferTime, FillTime float64
	// PurgeDelay is how long, in ms, caches and parents keep purged copies.
	PurgeDelay float64
	// MaxCopies bounds the copies of one cache or parent. 0 means defaultMaxCopies.
	MaxCopies int
	// IdempotencyWindow is how long, in ms, the origin drops repeats of a write with the same idempotency key.
	IdempotencyWindow float64
}

// Fleet is a set of stand-in servers with a common origin state.
type Fleet struct {
	options Options

	mu           sync.Mutex
	servers      map[policy.ServerID]*Server
	observations []Observation
	discarded    int                // number of observations dropped before those in the slice
	writeRuns    map[string]int     // how often each write ran, by request id or idempotency key
	lastKeyedRun map[string]float64 // when a write with this idempotency key last ran
}

// Observation is one attempt as a server received it.
type Observation struct {
	At             float64 // ms at which it was completely received
	Server         policy.ServerID
	RequestID      string
	Class          string
	Object         string
	Part           int
	Source         policy.ServerID // from which a miss was to be filled; the server itself means no fill
	OldestAllowed  float64         // creation time of the oldest acceptable copy; 0 accepts any
	RemainingMs    float64         // time left to the client, as stated by the proxy
	Probe          bool
	Write          bool
	IdempotencyKey string // idempotency key; empty: none
	Answer         string
	Note           string  // how the answer came about, in the protocol's words
	Stamp          float64 // creation time of the copy that was served, in ms
	Address        string
}

// defaultMaxCopies is the number of copies of a server where Options set none.
const defaultMaxCopies = 4096

// New returns a fleet without servers.
func New(o Options) *Fleet {
	if o.MaxCopies <= 0 {
		o.MaxCopies = defaultMaxCopies
	}
	return &Fleet{
		options: o, servers: map[policy.ServerID]*Server{}, writeRuns: map[string]int{}, lastKeyedRun: map[string]float64{},
	}
}

// Start starts a server at an address. Port 0 lets the kernel choose one.
func (f *Fleet) Start(id policy.ServerID, role Role, addr string) (*Server, error) {
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

// StartList starts a server for each entry of a list that is not running yet, at the entry's address.
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

// Server returns the server with an id, or nil.
func (f *Fleet) Server(id policy.ServerID) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// Close kills all servers.
func (f *Fleet) Close() {
	for _, server := range f.all() {
		server.Kill()
	}
}

// Purge invalidates all copies of an object made up to now, or of a group where object is empty, and returns the time in ms.
// Servers drop their copies after PurgeDelay.
func (f *Fleet) Purge(object string, group int) (at float64) {
	at = f.options.Clock.Now()
	purged := func(part partKey, cached *cachedCopy) bool {
		if object != "" {
			return cached.stamp <= at && part.object == object
		}
		return cached.stamp <= at && Group(part.object) == group
	}
	f.options.Clock.After(f.options.PurgeDelay, func() {
		for _, server := range f.all() {
			server.dropCopies(purged)
		}
	})
	return at
}

// all returns the servers in no particular order.
func (f *Fleet) all() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.servers))
}

// Observations returns all attempts that the servers received so far, oldest first.
func (f *Fleet) Observations() []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations)
}

// ObservationsAfter returns the attempts after the first n.
func (f *Fleet) ObservationsAfter(n int) []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations[min(n, len(f.observations)):])
}

// DiscardObservations frees the observations so far, which would take most of the memory of a long run.
func (f *Fleet) DiscardObservations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded += len(f.observations)
	f.observations = nil
}

// DuplicateWrites returns the writes that ran more than once, as text.
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

// runWrite runs a write at the origin, unless it repeats one with the same idempotency key within the window.
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

// WritesRun returns the number of different writes that ran.
func (f *Fleet) WritesRun() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.writeRuns)
}

// observe records an attempt and returns its number, for recordAnswer.
func (f *Fleet) observe(observation Observation) (at int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, observation)
	return f.discarded + len(f.observations) - 1
}

// recordAnswer completes an observation with the answer, unless it was discarded meanwhile.
func (f *Fleet) recordAnswer(at int, word, why string, stamp float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if at -= f.discarded; at >= 0 {
		f.observations[at].Answer, f.observations[at].Note, f.observations[at].Stamp = word, why, stamp
	}
}

// Counts returns the number of attempts at each server, ordered by id.
func (f *Fleet) Counts() []Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	by := map[policy.ServerID]*Count{}
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

// Count is the number of attempts and probes that one server received, and how often others filled from it.
type Count struct {
	Server                                  policy.ServerID
	Role                                    Role
	Attempts, Served, NamedAsSource, Probes int
}
