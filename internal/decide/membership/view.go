package membership

import (
	"cmp"
	"slices"

	"ravenwheel/policy"
)

// ServerStatus is one server as the ledger sees it.
type ServerStatus struct {
	Member       Member
	Phase        Phase
	Since        float64 // ms
	Reason       string
	Source       string // whose word it is
	TargetWeight float64
}

// Knows tells whether a server is listed, remembered or drained by hand.
func (l *Table) Knows(id policy.CacheID) bool {
	r := l.records[id]
	_, on := l.hand[id]
	return on || r != nil && r.phase != Gone
}

// Servers are all servers that the ledger remembers, by id.
func (l *Table) Servers() []ServerStatus {
	out := make([]ServerStatus, 0, len(l.records))
	for _, r := range l.records {
		v := ServerStatus{Member: r.facts, Phase: r.phase, Since: r.since, Reason: r.why, TargetWeight: r.facts.Weight}
		if at, _, _ := r.word(); at >= 0 {
			v.Source, v.TargetWeight = l.sources[at].Name, r.claims[at].Weight
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b ServerStatus) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}

// Generation is the last that was taken from a source; ok is false if none was.
func (l *Table) Generation(at int) (generation uint64, ok bool) {
	return l.sources[at].generation, l.sources[at].told
}
