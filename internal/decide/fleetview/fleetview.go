// Package fleetview is what all processes know together of the servers, put together from small digests that each publishes of
// what it saw itself. Digests are merged without coordination: a process alone writes its own entries, the newest by
// incarnation and version stands, so that merging is idempotent, commutative and associative and any order of arrival ends
// in the same view. Reading it goes through estimators that bound what liars can do (estimate.go).
//
// It owns no clock and sends nothing: times come in as Unix ms, digests go out to the shell (internal/peers). It decides
// nothing and names no server that a reader has not asked for: what is read here is advice to deciders, tested in
// view_test.go as properties over drawn digests, orders and lies.
package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"ravenwheel/policy"
)

// Digest is what one process publishes: its own arrivals, what it saw of each server since the digest before, and the
// objects asked for most. From and Incarnation are the publisher's; Version rises with each digest of an incarnation.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	From        string
	Incarnation uint64
	Version     uint64
	Zone        string
	Arrivals    Level // requests a second
	Servers     []Seen
	Heavy       []Heavy
	Age         float64 // ms since the teller heard it; 0 from its publisher
	Part        bool    // entries of an older version, told again: arrivals and objects are not among them
}

// Seen is what one process saw of one server over the last Window.
type Seen struct {
	_        struct{} `cbor:",toarray"`
	Server   policy.CacheID
	Attempts Level // a second
	Failures Level // of them: errors, broken connections, none that came up
	Refusals Level // of them: turned away as full
	Overdue  Level // of them: answered after their class's target, or never
	InFlight Level // out now
	Latency  Latency
}

// Heavy is an object that is asked for often.
type Heavy struct {
	_      struct{} `cbor:",toarray"`
	Object uint64
	Rate   Level // a second
}

// Options bound a view. Times are in ms.
type Options struct {
	// Fresh, Stale: what was heard longer ago than Fresh fades in proportion, and counts nothing from Stale on. A view
	// that is cut off so goes out without a jump.
	Fresh, Stale float64
	// Peers, Servers, HeavyMost bound what is held: of processes, of servers a process, of objects a process.
	Peers, Servers, HeavyMost int
	// Liars is the share of reporters that may say anything: estimates stay within a stated bound of the truth.
	Liars float64
}

// Usual are the options where nothing else is said: a digest comes each second, so three may be lost before it fades.
var Usual = Options{Fresh: 4000, Stale: 15_000, Peers: 4096, Servers: 1024, HeavyMost: 16, Liars: 0.1}

// View is what this process has heard, and its own word. The zero value is not usable; see New.
type View struct {
	opt   Options
	self  string
	peers map[string]*peer
}

// peer is one process's word.
type peer struct {
	incarnation, version uint64
	zone                 string
	heard                float64
	arrivals             Level
	heavy                []Heavy
	servers              map[policy.CacheID]held
}

// held is an entry with the version that brought it, and when it was heard.
type held struct {
	Seen
	version uint64
	at      float64
}

// New returns a view in which self's own digests are told apart from what is heard.
func New(self string, o Options) *View {
	return &View{opt: o, self: self, peers: map[string]*peer{}}
}

// Merged is what became of a digest.
type Merged int

// What a merge comes to. Old: its publisher has said something newer, or the same, before. TooMuch: a bound was met, and
// what is over it was left out.
const (
	Taken Merged = iota
	Old
	TooMuch
)

// Merge takes in a digest that was heard at now. The caller vouches for From.
func (v *View) Merge(now float64, d Digest) Merged {
	p := v.peers[d.From]
	switch {
	case p == nil && len(v.peers) >= v.opt.Peers:
		return TooMuch
	case p == nil || d.Incarnation > p.incarnation:
		p = &peer{incarnation: d.Incarnation, servers: map[policy.CacheID]held{}}
		v.peers[d.From] = p
	case d.Incarnation < p.incarnation:
		return Old
	}
	out, at := Old, now-max(0, d.Age)
	if d.Version > p.version && !d.Part {
		p.version, p.zone, p.arrivals, p.heard, out = d.Version, d.Zone, d.Arrivals, at, Taken
		p.heavy = slices.Clone(d.Heavy[:min(len(d.Heavy), v.opt.HeavyMost)])
	}
	for _, s := range d.Servers {
		old, known := p.servers[s.Server]
		switch {
		case known && old.version >= d.Version:
		case !known && len(p.servers) >= v.opt.Servers:
			return TooMuch
		default:
			p.servers[s.Server] = held{s, d.Version, at}
			out = Taken
		}
	}
	return out
}

// Whole is a process's word for one that may have heard nothing yet: a digest for each version that entries are of, oldest
// first. Told under the newest alone, an entry that was missed here would put its old value over a newer one there.
func (v *View) Whole(now float64, name string) (out []Digest) {
	p := v.peers[name]
	if p == nil {
		return nil
	}
	by := map[uint64]*Digest{p.version: {
		From: name, Incarnation: p.incarnation, Version: p.version, Zone: p.zone, Arrivals: p.arrivals, Heavy: slices.Clone(p.heavy),
		Age: max(0, now-p.heard),
	}}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		h := p.servers[id]
		d := by[h.version]
		if d == nil {
			d = &Digest{From: name, Incarnation: p.incarnation, Version: h.version, Zone: p.zone, Age: max(0, now-h.at), Part: true}
			by[h.version] = d
		}
		d.Servers = append(d.Servers, h.Seen)
	}
	for _, version := range slices.Sorted(maps.Keys(by)) {
		out = append(out, *by[version])
	}
	return out
}

// Forget drops what a process said: it is gone.
func (v *View) Forget(name string) { delete(v.peers, name) }

// Age drops what counts nothing any more, so that a view of many who came and went stays bounded.
func (v *View) Age(now float64) {
	maps.DeleteFunc(v.peers, func(_ string, p *peer) bool {
		maps.DeleteFunc(p.servers, func(_ policy.CacheID, h held) bool { return now-h.at >= v.opt.Stale })
		return now-p.heard >= v.opt.Stale
	})
}

// weight is what something heard so long ago counts for, from 1 down to 0.
func (v *View) weight(age float64) float64 {
	return min(1, max(0, (v.opt.Stale-age)/(v.opt.Stale-v.opt.Fresh)))
}

// Reporter is one process's word on a server, as operators see it.
type Reporter struct {
	Name     string  `json:"Name"`
	Zone     string  `json:"Zone"`
	Age      float64 `json:"Age"`      // ms
	Attempts float64 `json:"Attempts"` // a second
	Failing  float64 `json:"Failing"`  // share
	Latency  Latency `json:"Latency"`
}

// Reporters are who speaks of a server, by name: who said what, and how long ago.
func (v *View) Reporters(now float64, id policy.CacheID) (out []Reporter) {
	for name, p := range v.peers {
		h, ok := p.servers[id]
		if !ok || v.weight(now-h.at) == 0 {
			continue
		}
		out = append(out, Reporter{name, p.zone, now - h.at, h.Attempts.Value(), share(h.Failures, h.Attempts), h.Latency})
	}
	slices.SortFunc(out, func(a, b Reporter) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Peer is one process as the view has it.
type Peer struct {
	Name        string  `json:"Name"`
	Zone        string  `json:"Zone"`
	Incarnation uint64  `json:"Incarnation"`
	Age         float64 `json:"Age"`      // ms since its newest digest
	Arrivals    float64 `json:"Arrivals"` // requests a second
	Servers     int     `json:"Servers"`
}

// Peers are the processes heard of, by name.
func (v *View) Peers(now float64) (out []Peer) {
	for name, p := range v.peers {
		out = append(out, Peer{name, p.zone, p.incarnation, now - p.heard, p.arrivals.Value(), len(p.servers)})
	}
	slices.SortFunc(out, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// Servers are all that anybody speaks of, in order.
func (v *View) Servers() []policy.CacheID {
	all := map[policy.CacheID]bool{}
	for _, p := range v.peers {
		for id := range p.servers {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// share is a part of attempts, both quantised.
func share(part, of Level) float64 {
	if of.Value() <= 0 {
		return 0
	}
	return min(1, part.Value()/of.Value())
}
