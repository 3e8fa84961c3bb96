package membership

import (
	"cmp"
	"slices"

	"ravenwheel/policy"
)

// View is one server as the ledger sees it.
type View struct {
	Member Member
	Phase  Phase
	Since  float64 // ms
	Why    string
	Source string // whose word it is
	Wanted float64
}

// Knows tells whether a server is listed, remembered or drained by hand.
func (l *Ledger) Knows(id policy.CacheID) bool {
	r := l.records[id]
	_, on := l.hand[id]
	return on || r != nil && r.phase != Gone
}

// Views are all servers that the ledger remembers, by id.
func (l *Ledger) Views() []View {
	out := make([]View, 0, len(l.records))
	for _, r := range l.records {
		v := View{Member: r.facts, Phase: r.phase, Since: r.since, Why: r.why, Wanted: r.facts.Weight}
		if at, _, _ := r.word(); at >= 0 {
			v.Source, v.Wanted = l.sources[at].Name, r.claims[at].Weight
		}
		out = append(out, v)
	}
	slices.SortFunc(out, func(a, b View) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}

// Generation is the last that was taken from a source; ok is false if none was.
func (l *Ledger) Generation(at int) (generation uint64, ok bool) {
	return l.sources[at].generation, l.sources[at].told
}
