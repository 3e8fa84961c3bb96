package fleetview

import (
	"cmp"
	"maps"
	"slices"

	"ravenwheel/policy"
)

// Report holds what one process reports about a server, in the form that is shown to operators.
type Report struct {
	Name     string  `json:"Name"` // of the process
	Zone     string  `json:"Zone"`
	Age      float64 `json:"Age"`      // ms since the report was received
	Attempts float64 `json:"Attempts"` // per second
	Failing  float64 `json:"Failing"`  // fraction of the attempts
	Latency  Latency `json:"Latency"`
}

// Reports returns what each process reports about a server, sorted by the name of the process. now is in ms.
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

// Peer is one process in the view, in the form that is shown to operators.
type Peer struct {
	Name        string  `json:"Name"`
	Zone        string  `json:"Zone"`
	Incarnation uint64  `json:"Incarnation"`
	Age         float64 `json:"Age"`      // ms since the newest digest of the process was received
	Arrivals    float64 `json:"Arrivals"` // requests per second
	Servers     int     `json:"Servers"`  // number of servers that the process reports on
}

// Peers returns the processes in the view, sorted by name. now is in ms.
func (v *View) Peers(now float64) (peers []Peer) {
	for name, p := range v.peers {
		peers = append(peers, Peer{name, p.zone, p.incarnation, now - p.receivedAt, p.arrivals.Value(), len(p.servers)})
	}
	slices.SortFunc(peers, func(a, b Peer) int { return cmp.Compare(a.Name, b.Name) })
	return peers
}

// Servers returns all servers that any process reports on, sorted by id.
func (v *View) Servers() []policy.ServerID {
	all := map[policy.ServerID]bool{}
	for _, p := range v.peers {
		for id := range p.servers {
			all[id] = true
		}
	}
	return slices.Sorted(maps.Keys(all))
}

// fraction returns part/whole, from 0 to 1, or 0 if whole is 0. Levels are rounded, so that part may exceed whole.
func fraction(part, whole Level) float64 {
	if whole.Value() <= 0 {
		return 0
	}
	return min(1, part.Value()/whole.Value())
}
