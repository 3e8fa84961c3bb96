package membership

import (
	"cmp"
	"slices"

	"ravenwheel/policy"
)

// ServerStatus is one server as operators are shown it. Package admin has a form of its own for that; the names in the tags
// keep the sizes that the capacity recordings measure.
type ServerStatus struct {
	Member       Member  `json:"Member"` // as it was published last
	Phase        Phase   `json:"Phase"`
	Since        float64 `json:"Since"`  // start of the phase, ms
	Reason       string  `json:"Why"`    // for the phase
	Source       string  `json:"Source"` // the source whose facts apply; "": no source lists the server
	TargetWeight float64 `json:"Wanted"` // the weight that the source wants; Member.Weight approaches it in steps
}

// IsKnown reports whether the table has a server that is not gone, or an operator drains one with this id.
func (t *Table) IsKnown(id policy.CacheID) bool {
	s := t.servers[id]
	_, drained := t.manualDrains[id]
	return drained || s != nil && s.phase != Gone
}

// Servers returns the status of all servers that are listed or still remembered, by id.
func (t *Table) Servers() []ServerStatus {
	out := make([]ServerStatus, 0, len(t.servers))
	for _, s := range t.servers {
		status := ServerStatus{Member: s.current, Phase: s.phase, Since: s.since, Reason: s.reason, TargetWeight: s.current.Weight}
		if i := s.merge().factsSource; i >= 0 {
			status.Source, status.TargetWeight = t.sources[i].Name, s.entries[i].Weight
		}
		out = append(out, status)
	}
	slices.SortFunc(out, func(a, b ServerStatus) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return out
}
