package fleetview

import (
	"maps"
	"slices"

	"ravenwheel/policy"
)

// Settings are the limits of a view. Times are in ms.
type Settings struct {
	// An entry has its full weight until FadeAfter after it was received, and none from ExpireAfter on. In between the weight falls
	// linearly, so that the estimates of a process that is cut off from the others fade without a jump.
	FadeAfter, ExpireAfter float64
	// MaxPeers limits the processes in the view, MaxServers and MaxObjects the servers and the objects of each process.
	MaxPeers, MaxServers, MaxObjects int
	// FaultyFraction is the fraction of the reporters that may report arbitrary figures without moving estimates out of their
	// bounds.
	FaultyFraction float64
}

// DefaultSettings returns the settings for one digest per second: three in a row may be lost before an entry fades.
func DefaultSettings() Settings {
	return Settings{FadeAfter: 4000, ExpireAfter: 15_000, MaxPeers: 4096, MaxServers: 1024, MaxObjects: 16, FaultyFraction: 0.1}
}

// View holds the newest entries of all processes, this process among them. Use New. It is not safe for concurrent use.
type View struct {
	settings Settings
	self     string
	peers    map[string]*peer
}

// peer is what one process has published.
type peer struct {
	incarnation, version uint64
	zone                 string
	receivedAt           float64
	arrivals             Level
	objects              []ObjectRate
	servers              map[policy.ServerID]serverEntry
}

// serverEntry is a server's figures, the version that brought them, and when that was received.
type serverEntry struct {
	ServerLoad
	version    uint64
	receivedAt float64
}

// New returns an empty view. self is the name of this process, whose own digests outweigh those of others, see Estimate.
func New(self string, settings Settings) *View {
	return &View{settings: settings, self: self, peers: map[string]*peer{}}
}

// MergeResult is the outcome of a merge.
type MergeResult int

// The results of a merge.
const (
	Accepted      MergeResult = iota
	Outdated                  // the view already holds the same or newer entries of the publisher
	LimitExceeded             // one of the limits in Settings was reached, and what exceeds it was left out
)

// Merge merges a digest that was received at now, in ms. The caller has verified that it comes from d.From.
func (v *View) Merge(now float64, d Digest) MergeResult {
	p := v.peers[d.From]
	switch {
	case p == nil && len(v.peers) >= v.settings.MaxPeers:
		return LimitExceeded
	case p == nil || d.Incarnation > p.incarnation:
		p = &peer{incarnation: d.Incarnation, servers: map[policy.ServerID]serverEntry{}}
		v.peers[d.From] = p
	case d.Incarnation < p.incarnation:
		return Outdated
	}
	result, receivedAt := Outdated, now-max(0, d.Age)
	if d.Version > p.version && !d.Partial {
		p.version, p.zone, p.arrivals, p.receivedAt, result = d.Version, d.Zone, d.Arrivals, receivedAt, Accepted
		p.objects = slices.Clone(d.Objects[:min(len(d.Objects), v.settings.MaxObjects)])
	}
	for _, load := range d.Servers {
		old, known := p.servers[load.Server]
		switch {
		case known && old.version >= d.Version:
		case !known && len(p.servers) >= v.settings.MaxServers:
			return LimitExceeded
		default:
			p.servers[load.Server] = serverEntry{load, d.Version, receivedAt}
			result = Accepted
		}
	}
	return result
}

// Snapshot returns everything that the view holds of a process, for a receiver that may have none of it yet: one digest for each
// version of which entries are held, oldest first. If all entries went out under the newest version, an outdated entry, whose
// update was lost on the way to this view, would replace the newer one at the receiver.
func (v *View) Snapshot(now float64, name string) (digests []Digest) {
	p := v.peers[name]
	if p == nil {
		return nil
	}
	byVersion := map[uint64]*Digest{p.version: {
		From: name, Incarnation: p.incarnation, Version: p.version, Zone: p.zone, Arrivals: p.arrivals, Objects: slices.Clone(p.objects),
		Age: max(0, now-p.receivedAt),
	}}
	for _, id := range slices.Sorted(maps.Keys(p.servers)) {
		e := p.servers[id]
		d := byVersion[e.version]
		if d == nil {
			d = &Digest{
				From: name, Incarnation: p.incarnation, Version: e.version, Zone: p.zone, Age: max(0, now-e.receivedAt), Partial: true,
			}
			byVersion[e.version] = d
		}
		d.Servers = append(d.Servers, e.ServerLoad)
	}
	for _, version := range slices.Sorted(maps.Keys(byVersion)) {
		digests = append(digests, *byVersion[version])
	}
	return digests
}

// Forget removes everything that a process has published.
func (v *View) Forget(name string) { delete(v.peers, name) }

// Expire removes the processes and entries that no longer have any weight, so that the view stays bounded while processes come and
// go. now is in ms.
func (v *View) Expire(now float64) {
	maps.DeleteFunc(v.peers, func(_ string, p *peer) bool {
		maps.DeleteFunc(p.servers, func(_ policy.ServerID, e serverEntry) bool { return now-e.receivedAt >= v.settings.ExpireAfter })
		return now-p.receivedAt >= v.settings.ExpireAfter
	})
}

// weight returns the weight, from 1 down to 0, of an entry that was received age ms ago.
func (v *View) weight(age float64) float64 {
	return min(1, max(0, (v.settings.ExpireAfter-age)/(v.settings.ExpireAfter-v.settings.FadeAfter)))
}
