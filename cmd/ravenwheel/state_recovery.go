package main

import (
	"fmt"

	"ravenwheel/internal/applier"
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/state"
	"ravenwheel/policy"
)

// listSource is the name under which the watched list is recorded. There is only one, so its file's name does not matter.
const listSource = "list"

// openState recovers the state from before a restart, and opens its directory for this process. Without a configured state the
// plan is empty.
func (s *serverSources) openState(settings membership.Settings) (plan recovery.Plan, err error) {
	if s.file.State == nil {
		return plan, nil
	}
	began := s.clock.Now()
	s.state, plan, err = state.Open(state.Options{
		Dir:        s.file.State.Dir,
		Clock:      s.clock,
		Log:        s.log,
		BatchDelay: s.file.State.BatchDelayMs,
		Settings: recovery.Settings{
			PurgePropagation: clock.Ms(s.conf.Settings.PurgeDuration),
			PurgeGrace:       clock.Ms(s.conf.Settings.PurgeGrace),
			GoneRetention:    settings.GoneRetention,
		},
	})
	if err != nil {
		return plan, fmt.Errorf("state: %w", err)
	}
	if plan.ClockStepBack > 0 {
		s.log.Warn("state").Float64("behind_ms", plan.ClockStepBack).
			Msg("clock is behind its value before the restart; recovered purges, drains and departures with later times count from now")
	}
	s.log.Info("state").Int("boots", plan.Boots).Int("purges", len(plan.Purges)).Int("servers", len(plan.Members)).
		Float64("took_ms", s.clock.Now()-began).Msg("state recovered")
	return plan, nil
}

// restore applies the recovered state, before any source is followed and before the first request. It returns the watched list that
// was recorded, or nil if there is none. The store's list is in force again when it returns.
func (s *serverSources) restore(plan recovery.Plan, ranks sourceRanks) (recorded *serverlist.List) {
	for _, purge := range plan.Purges {
		group := purge.Group
		if purge.Object != "" {
			group = noGroup
		}
		s.core.ApplyPurge(core.Purge{Object: purge.Object, Group: group, At: purge.IssuedAt})
	}
	if plan.Boots > 0 { // otherwise nothing is recorded, which does not mean that every server is new
		sources := map[int]membership.SavedSource{}
		if list, ok := plan.List(listSource); ok {
			sources[ranks.list] = savedSource(list)
			recorded = serverlist.NewList(list.Generation, list.Servers)
		}
		storeList, hasStoreList := plan.List(applier.ListSource)
		if hasStoreList {
			sources[ranks.store] = savedSource(storeList)
		}
		s.registry.Restore(plan.Members, sources)
		if hasStoreList && s.applier != nil {
			s.applier.RestoreList(&storestate.List{Generation: storeList.Generation, Servers: storeList.Servers})
		}
	}
	for _, id := range plan.ManualDrains {
		s.registry.Handle(membership.ManualDrain{ID: policy.ServerID(id), On: true})
	}
	return recorded
}

// savedSource returns what was in force of a source whose list was recorded.
func savedSource(l recovery.List) membership.SavedSource {
	source := membership.SavedSource{MinGeneration: l.Generation}
	for _, id := range l.Omitted {
		source.Omitted = append(source.Omitted, policy.ServerID(id))
	}
	return source
}

// noGroup is the group of a purge of one object.
const noGroup = -1
