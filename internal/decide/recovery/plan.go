package recovery

import (
	"cmp"
	"slices"

	"ravenwheel/internal/decide/membership"
	"ravenwheel/policy"
)

// Plan is what a proxy must apply before it accepts its first request.
type Plan struct {
	Purges        []Purge                  // for the policy module, by time of issue
	Members       []membership.SavedMember // for the registry, by server id
	Lists         []List                   // the list last accepted from each source, by source
	ClockStepBack float64                  // ms by which the clock is behind the latest stored time; 0: it is not behind
	Boots         int                      // number of starts before this one
	Revision      uint64                   // of the configuration that was in use
	ManualDrains  []uint64                 // ids of the servers that operators drain, in order
}

// Plan returns what a proxy that starts at now must apply.
//
// If the clock was stepped back, stored times may be in the future. They count as now, so that a purge, a drain or a departure
// neither ends early nor lasts longer by the size of the step.
func (s *State) Plan(now float64, settings Settings) Plan {
	return Plan{
		Purges:        s.purgesInForce(now, settings),
		Members:       s.savedMembers(now, settings),
		Lists:         s.Lists(),
		ClockStepBack: max(0, s.LatestTime-now),
		Boots:         s.Boots,
		Revision:      s.Revision,
		ManualDrains:  s.drainedManually(),
	}
}

// purgesInForce returns the purges that can still match a copy, by time of issue. Each counts as received now, because it is
// unknown how far it had propagated before the restart: from now on, copies older than the purge are not requested for the purge's
// full duration.
func (s *State) purgesInForce(now float64, settings Settings) []Purge {
	var purges []Purge
	for _, p := range s.purges {
		if purgeExpiresAt(p.expiryBase(), settings) < now {
			continue
		}
		p.IssuedAt, p.NotifiedAt = min(p.IssuedAt, now), now
		purges = append(purges, p)
	}
	slices.SortFunc(purges, func(a, b Purge) int {
		return cmp.Or(cmp.Compare(a.IssuedAt, b.IssuedAt), cmp.Compare(a.Object, b.Object), a.Group-b.Group)
	})
	return purges
}

// savedMembers returns all servers but those that left more than GoneRetention ago, by id.
func (s *State) savedMembers(now float64, settings Settings) []membership.SavedMember {
	var list []membership.SavedMember
	for _, m := range s.members {
		if m.Phase == membership.Gone && m.Since+settings.GoneRetention < now {
			continue
		}
		saved := membership.SavedMember{Phase: m.Phase, Since: min(m.Since, now)}
		saved.Member.ID, saved.Member.Addr, saved.Member.Zone, saved.Member.Kind = policy.ServerID(m.ID), m.Addr, m.Zone, m.Kind
		saved.Member.Cell, saved.Member.Weight = m.Cell, m.Weight
		saved.Member.Started = policy.Time(min(m.Started, now) * nanosecondsPerMs)
		list = append(list, saved)
	}
	slices.SortFunc(list, func(a, b membership.SavedMember) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
	return list
}

// Shifted returns the plan with ms added to all its times, to convert them to another clock.
func (p Plan) Shifted(ms float64) Plan {
	if ms == 0 {
		return p
	}
	p.Purges, p.Members = slices.Clone(p.Purges), slices.Clone(p.Members)
	for i := range p.Purges {
		p.Purges[i] = p.Purges[i].shifted(ms)
	}
	for i := range p.Members {
		saved := &p.Members[i]
		saved.Since += ms
		if saved.Member.Started > 0 {
			saved.Member.Started += policy.Time(ms * nanosecondsPerMs)
		}
	}
	return p
}

// List returns the list of a source, and whether there is one.
func (p Plan) List(source string) (List, bool) {
	for _, l := range p.Lists {
		if l.Source == source {
			return l, true
		}
	}
	return List{}, false
}
