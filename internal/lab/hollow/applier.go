package hollow

import (
	"fmt"
	"time"

	"ravenwheel/internal/config"
	"ravenwheel/internal/decide/distribution"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/policy"
)

// moduleUptimeMs is the reading of the policy module's clock in ms when a run begins. It is not 0, which means "no time" there.
const moduleUptimeMs = 3_600_000

// membershipSource is the name of the membership table's only source of server lists.
const membershipSource = "store"

// applier applies entries in a full process. It holds what they change: the policy module's lists and purges, the membership
// table, the parsed configuration and, in some processes, the store's committed state.
type applier struct {
	sim       *simulation
	process   *process
	router    *policy.Router
	table     *membership.Table
	state     *storestate.State // held by members of the store, and by all processes in ModeDirect; nil: not held
	live      *config.Live      // never read; kept so that it counts in the heap of the process
	revision  uint64            // number of the revision in live
	actions   []policy.Action   // buffer for the router's actions, which are ignored
	lastError error             // why the last entry that failed could not be applied
}

func newApplier(sim *simulation, p *process, withState bool) *applier {
	a := &applier{sim: sim, process: p}
	var err error
	if a.router, err = policy.New(moduleSettings(sim.scenario.ZoneProcesses), uint64(p.id)+1); err != nil {
		panic(fmt.Sprintf("hollow: invalid settings of the policy module: %v", err))
	}
	a.table, err = membership.New(membership.Settings{
		Sources: []membership.Source{{Name: membershipSource}}, DrainTimeout: 2000, GoneRetention: 60_000, WeightStep: 2, WeightInterval: 1000,
	})
	if err != nil {
		panic(fmt.Sprintf("hollow: invalid settings of the membership table: %v", err))
	}
	if withState {
		a.state = storestate.New()
	}
	return a
}

// moduleSettings are the policy module's settings for a zone with the given number of routers, with three typical request
// classes.
func moduleSettings(routers int) policy.Settings {
	ms := func(v int) time.Duration { return time.Duration(v) * time.Millisecond }
	return policy.Settings{
		Routers: routers, ZoneRouters: []int{routers}, ParentKind: 1, OriginKind: 2,
		PurgeDuration: ms(purgeDurationMs), PurgeGrace: ms(purgeGraceMs), WeightsKnown: true, MaxAttempts: 8,
		Classes: []policy.Class{
			{LatencyObjective: ms(400), Deadline: ms(5000), PriorityWeight: 2, Multipart: true},
			{LatencyObjective: ms(400), Deadline: ms(2500), PriorityWeight: 1},
			{LatencyObjective: ms(600), Deadline: ms(3000), PriorityWeight: 3, Idempotency: policy.NotIdempotent, Uncached: true},
		},
	}
}

// now returns the time on the process's clock in Unix ms, and the same instant on the policy module's clock.
func (a *applier) now() (float64, policy.Time) {
	at := a.sim.clockOf(a.process)
	return at, policy.Time((at - startUnixMs + moduleUptimeMs) * 1e6)
}

// applyEntry applies an entry of the distribution. A revision that is not newer than the current one is ignored.
func (a *applier) applyEntry(entry distribution.Entry) {
	now, moduleNow := a.now()
	switch entry.Kind {
	case distribution.PurgeObject:
		a.purge(moduleNow, policy.Purged{Object: entry.Name, Group: int(entry.Group), Age: age(now, entry.EffectiveAt)})
	case distribution.PurgeGroup:
		a.purge(moduleNow, policy.Purged{Group: int(entry.Group), Age: age(now, entry.EffectiveAt)})
	case distribution.Revision:
		a.applyRevision(entry)
	case distribution.List:
		a.applyList(now, entry)
	case distribution.Drain, distribution.DrainEnded:
		a.setDrain(now, entry.Name, entry.Kind == distribution.Drain)
	}
}

// age is the time that has passed since a Unix time in ms, or 0 for a time in the future.
func age(now float64, since int64) time.Duration {
	return time.Duration(max(0, now-float64(since)) * 1e6)
}

func (a *applier) purge(now policy.Time, purge policy.Purged) {
	a.actions = a.router.Handle(now, purge, a.actions[:0])
}

func (a *applier) applyRevision(entry distribution.Entry) {
	if entry.Version <= a.revision {
		return
	}
	live, err := config.ParseLive("revision", string(entry.Body))
	if err != nil {
		a.lastError = err
		return
	}
	a.live, a.revision = live, entry.Version
}

// applyList applies the server list of the process's own zone, and ignores the lists of other zones.
func (a *applier) applyList(now float64, entry distribution.Entry) {
	if entry.Name != listName(a.process.zone) {
		return
	}
	change, err := storestate.DecodeChange(entry.Body)
	if err != nil || change.List == nil {
		a.lastError = fmt.Errorf("server list %s cannot be decoded: %v", entry.Name, err)
		return
	}
	a.installList(now, change.List)
}

func (a *applier) installList(now float64, list *storestate.List) {
	snapshot := membership.Snapshot{Generation: list.Generation}
	for _, server := range list.Servers {
		member := membership.Member{Member: policy.Member{ID: server.ID, Weight: server.Weight}, Addr: server.Addr}
		snapshot.Entries = append(snapshot.Entries, membership.Entry{Member: member})
	}
	a.updateTable(now, snapshot)
}

func (a *applier) setDrain(now float64, server string, on bool) {
	if id, ok := a.sim.servers[server]; ok && a.sim.zoneOf(id) == a.process.zone {
		a.updateTable(now, membership.ManualDrain{ID: id, On: on})
	}
}

// tableTimerFired passes the membership table the tick that it asked for.
func (a *applier) tableTimerFired() {
	now, _ := a.now()
	a.updateTable(now, membership.Tick{})
}

// updateTable passes an event to the membership table, and executes the actions that the table returns.
func (a *applier) updateTable(now float64, e membership.Event) {
	for _, action := range a.table.Handle(now, e, nil) {
		switch action := action.(type) {
		case membership.Publish:
			a.publish(action)
		case membership.Wake:
			a.sim.setTimer(a.process, slotMembership, action.At-now)
		}
	}
}

// publish passes the members that the table publishes to the policy module.
func (a *applier) publish(published membership.Publish) {
	members := policy.Members{Kind: policy.ListChanges, Version: int64(published.Version)}
	if published.Complete {
		members.Kind = policy.ListFull
	}
	for _, member := range published.Members {
		members.Entries = append(members.Entries, member.Member)
	}
	_, now := a.now()
	a.actions = a.router.Handle(now, members, a.actions[:0])
}

// applyChange applies an entry of the store's log. Members of the store and, in ModeDirect, followers receive entries in this
// form.
func (a *applier) applyChange(encoded []byte) {
	change, err := storestate.DecodeChange(encoded)
	if err != nil {
		a.lastError = err
		return
	}
	if a.state.Apply(change).Verdict != storestate.OK {
		return
	}
	now, moduleNow := a.now()
	switch change.Kind {
	case storestate.AddPurge:
		purge := change.Purge
		a.purge(moduleNow, policy.Purged{Object: purge.Object, Group: purge.Group, Age: age(now, int64(purge.IssuedAt))})
	case storestate.SetList:
		if change.Name == listName(a.process.zone) {
			a.installList(now, change.List)
		}
	case storestate.StartDrain, storestate.EndDrain:
		a.setDrain(now, change.Name, change.Kind == storestate.StartDrain)
	case storestate.SetConfig:
		if live, err := config.ParseLive("revision", change.Text); err == nil {
			a.live, a.revision = live, a.state.Revision().Number
		}
	}
}
