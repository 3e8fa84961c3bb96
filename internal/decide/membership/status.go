package membership

import (
	"cmp"
	"slices"

	"ravenwheel/policy"
)

// ServerStatus is the status of one server. Package admin copies it to its own type before it shows it to operators. The
// names in the tags stay as they are because the capacity recordings measure the size of the encoded form.
type ServerStatus struct {
	Member       Member  `json:"Member"` // as published last
	Phase        Phase   `json:"Phase"`
	Since        float64 `json:"Since"`  // start of the phase, ms
	Reason       string  `json:"Why"`    // for the phase
	Source       string  `json:"Source"` // the source whose facts apply; "": no source lists the server
	TargetWeight float64 `json:"Wanted"` // the weight that the source wants; Member.Weight approaches it in steps
}

// IsKnown reports whether the table has a server with this id that is not gone, or an operator drains the id.
func (t *Table) IsKnown(id policy.ServerID) bool {
	s := t.servers[id]
	_, drained := t.manualDrains[id]
	return drained || s != nil && s.phase != Gone
}

// Servers returns the status of all servers in the table, sorted by id. Servers that are gone stay for GoneRetention.
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
