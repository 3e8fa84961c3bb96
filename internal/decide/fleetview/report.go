package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"ravenwheel/policy"
)

// Report is what one process reports of a server, as operators are shown it.
type Report struct {
	Name     string  `json:"Name"` // of the process
	Zone     string  `json:"Zone"`
	Age      float64 `json:"Age"`      // ms
	Attempts float64 `json:"Attempts"` // a second
	Failing  float64 `json:"Failing"`  // fraction of the attempts
	Latency  Latency `json:"Latency"`
}

// Reports returns what each process reports of a server, by the name of the process. now is in ms.
func (v *View) Reports(now float64, id policy.ServerID) (reports []Report) {
	for name, p := range v.peers {
		e, ok := p.servers[id]
		if !ok || v.weight(now-e.receivedAt) == 0 {
			continue
		}
		reports = append(reports, Report{
			name, p.zone, now - e.receivedAt, e.Attempts.Value(), fraction(e.Failures, e.Attempts), e.Latency,
		})
	}
	slices.SortFunc(reports, func(a, b Report) int { return cmp.Compare(a.Name, b.Name) })
	return reports
}

// Peer is one process in the view, as operators are shown it.
type Peer struct {
	Name        string  `json:"Name"`
	Zone        string  `json:"Zone"`
	Incarnation uint64  `json:"Incarnation"`
	Age         float64 `json:"Age"`      // ms since its newest digest was received
	Arrivals    float64 `json:"Arrivals"` // requests a second
	Servers     int     `json:"Servers"`  // that it reports on
}

// Peers returns the processes in the view, by name. now is in ms.
func (v *View) Peers(now float64) (peers []Peer) {
	for name, p := range v.peers {
		peers = append(peers, Peer{name, p.zone, p.incarnation, now - p.receivedAt, p.arrivals.Value(), len(p.servers)})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// Servers returns all servers that any process reports on, in order.
func (v *View) Servers() []policy.ServerID {
	all := map[policy.ServerID]bool{}
	for _, p := range v.peers {
		for id := range p.servers {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// fraction returns a part as a fraction of a whole, both quantised: from 0 to 1, and 0 of nothing.
func fraction(part, whole Level) float64 {
	if whole.Value() <= 0 {
		return 0
	}
	return min(1, part.Value()/whole.Value())
}
