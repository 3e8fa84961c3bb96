// Package fleet provides stand-ins for the servers that a proxy uses: cache servers, parents, an origin, and the discovery service.
// They speak the platform's protocol on loopback sockets. The cache servers, parents and the origin record each attempt that they
// receive, so that tests check the rules against what the servers received and not against what the proxy reports of itself.
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

// Role is a server's level in the cache hierarchy.
type Role int

// The roles: a cache is near the clients, a parent fills caches, and the origin creates the content.
const (
	Cache Role = iota
	Parent
	Origin
)

// Options configure a Fleet.
type Options struct {
	Clock *clock.Clock
	// TransferTime is the time, in ms, that a server takes to answer. FillTime, in ms, is added for each level of the hierarchy
	// from which a miss is filled. With a sum of 0 the server answers without delay.
	TransferTime, FillTime float64
	// PurgeDelay is how long, in ms, caches and parents keep copies after their purge.
	PurgeDelay float64
	// MaxCopies is the highest number of copies in one cache or parent. 0 means defaultMaxCopies.
	MaxCopies int
	// IdempotencyWindow is the time, in ms after a write with an idempotency key ran, in which the origin does not run another
	// write with the same key.
	IdempotencyWindow float64
	// MinBodyBytes is the least size of an object's content.
	MinBodyBytes int
}

// Fleet is a set of stand-in servers. The record of the writes that ran at the origin is common to all of them.
type Fleet struct {
	options Options

	mu           sync.Mutex
	servers      map[policy.ServerID]*Server
	observations []Observation
	discarded    int                // number of observations discarded; those in the slice follow them
	writeRuns    map[string]int     // how often each write ran, by request id or idempotency key
	lastKeyedRun map[string]float64 // by idempotency key: when a write with it last ran, in ms
}

// Observation is one attempt as a server received it.
type Observation struct {
	At             float64 // when it was completely received, in ms
	Began          float64 // when its first byte arrived at the server's machine, in ms
	Server         policy.ServerID
	RequestID      string
	Class          string
	Object         string
	Part           int
	Source         policy.ServerID // from which a miss is filled; the server itself: a miss is not filled
	OldestAllowed  float64         // oldest creation time of an acceptable copy, in Unix ms; 0: any
	RemainingMs    float64         // time left until the client's deadline, in ms, as stated by the proxy
	Probe          bool
	Write          bool
	IdempotencyKey string  // empty: none
	Status         string  // of the answer; empty: not answered
	Reason         string  // the answer's field "why": how the request was served or why it was not
	Stamp          float64 // when the origin created the copy that was served, in Unix ms
	Address        string  // of the server
}

// defaultMaxCopies is the highest number of copies in a server if Options.MaxCopies is not set.
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

// Start starts a server at an address. With port 0 the kernel chooses a port.
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
func (f *Fleet) StartList(list *serverlist.List, parentKind, originKind string) error {
	for _, entry := range list.Servers {
		if f.Server(entry.ID) != nil {
			continue
		}
		role := Cache
		switch entry.Kind {
		case parentKind:
			role = Parent
		case originKind:
			role = Origin
		}
		if _, err := f.Start(entry.ID, role, entry.Addr); err != nil {
			return err
		}
	}
	return nil
}

// Server returns the server with an id, or nil if there is none.
func (f *Fleet) Server(id policy.ServerID) *Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.servers[id]
}

// Close kills all servers.
func (f *Fleet) Close() {
	for _, server := range f.allServers() {
		server.Kill()
	}
}

// Purge purges all copies of an object, or of a group if object is empty, that the origin has created up to now. It returns the
// time of the purge in ms. The servers drop the copies after PurgeDelay.
func (f *Fleet) Purge(object string, group int) (at float64) {
	at = f.options.Clock.Now()
	purged := func(part partKey, cached *cachedCopy) bool {
		if object != "" {
			return cached.stamp <= at && part.object == object
		}
		return cached.stamp <= at && Group(part.object) == group
	}
	f.options.Clock.After(f.options.PurgeDelay, func() {
		for _, server := range f.allServers() {
			server.dropCopies(purged)
		}
	})
	return at
}

// allServers returns the servers in no particular order.
func (f *Fleet) allServers() []*Server {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Collect(maps.Values(f.servers))
}

// Observations returns the attempts that the servers received since the last DiscardObservations, oldest first.
func (f *Fleet) Observations() []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations)
}

// ObservationsAfter returns Observations without the first n.
func (f *Fleet) ObservationsAfter(n int) []Observation {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.observations[min(n, len(f.observations)):])
}

// DiscardObservations discards the observations so far, which would otherwise take most of the memory of a long run.
func (f *Fleet) DiscardObservations() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.discarded += len(f.observations)
	f.observations = nil
}

// DuplicateWrites returns the writes that ran more than once: each one's request id or idempotency key and how often it ran.
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

// runWrite runs a write at the origin, unless one with the same idempotency key ran within IdempotencyWindow.
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

// observe records an attempt and returns the number by which recordAnswer refers to it.
func (f *Fleet) observe(observation Observation) (number int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.observations = append(f.observations, observation)
	return f.discarded + len(f.observations) - 1
}

// recordAnswer adds the answer to an observation, unless that was discarded meanwhile.
func (f *Fleet) recordAnswer(number int, status, reason string, stamp float64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if number -= f.discarded; number >= 0 {
		f.observations[number].Status, f.observations[number].Reason, f.observations[number].Stamp = status, reason, stamp
	}
}

// Counts returns the counts of each server, ordered by server id.
func (f *Fleet) Counts() []Count {
	f.mu.Lock()
	defer f.mu.Unlock()
	counts := map[policy.ServerID]*Count{}
	for id, s := range f.servers {
		counts[id] = &Count{Server: id, Role: s.Role}
	}
	for _, s := range f.observations {
		c := counts[s.Server]
		switch {
		case s.Probe:
			c.Probes++
			continue
		case s.Source != s.Server && counts[s.Source] != nil && s.Status == "served":
			counts[s.Source].NamedAsSource++
		}
		if c.Attempts++; s.Status == "served" {
			c.Served++
		}
	}
	sorted := make([]Count, 0, len(counts))
	for _, c := range counts {
		sorted = append(sorted, *c)
	}
	slices.SortFunc(sorted, func(a, b Count) int { return cmp.Compare(a.Server, b.Server) })
	return sorted
}

// Count has the number of attempts and probes that one server received, and how many attempts other servers served that named it as
// the source.
type Count struct {
	Server                                  policy.ServerID
	Role                                    Role
	Attempts, Served, NamedAsSource, Probes int
}
