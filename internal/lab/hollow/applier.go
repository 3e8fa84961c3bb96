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

// applier is what control traffic touches in a process behind the receiver: the module's lists and purges, the ledger of
// servers, the configuration as it is parsed, and in members of the store (and in every process of today's way) the
// committed state.
type applier struct {
	sim      *simulation
	process  *process
	router   *policy.Router
	ledger   *membership.Table
	state    *storestate.State // nil: not held
	live     *config.Live
	actions  []policy.Action
	revision uint64
	err      error
}

func newApplier(sim *simulation, p *process, state bool) *applier {
	ms := func(v int) time.Duration { return time.Duration(v) * time.Millisecond }
	a := &applier{sim: sim, process: p}
	var err error
	a.router, err = policy.New(policy.Settings{
		Routers: sim.scenario.ZoneProcesses, ZoneRouters: []int{sim.scenario.ZoneProcesses}, ParentKind: 1, OriginKind: 2, PurgeDuration: ms(6000),
		PurgeGrace: ms(1000), WeightsKnown: true, MaxAttempts: 8, Classes: []policy.Class{
			{LatencyObjective: ms(400), Deadline: ms(5000), PriorityWeight: 2, Multipart: true}, {LatencyObjective: ms(400), Deadline: ms(2500), PriorityWeight: 1},
			{LatencyObjective: ms(600), Deadline: ms(3000), PriorityWeight: 3, Idempotency: policy.NotIdempotent, Uncached: true},
		},
	}, uint64(p.id)+1)
	if err != nil {
		panic(err) // of settings made here
	}
	a.ledger, err = membership.New(membership.Settings{
		Sources: []membership.Source{{Name: "store"}}, DrainTimeout: 2000, GoneRetention: 60_000, WeightStep: 2, WeightInterval: 1000,
	})
	if err != nil {
		panic(err) // of settings made here
	}
	if state {
		a.state = storestate.New()
	}
	return a
}

// now is the process's own clock for its ledger, and for the module.
func (a *applier) now() (float64, policy.Time) {
	at := a.sim.clockOf(a.process)
	return at, policy.Time((at - startUnixMs + moduleUptimeMs) * 1e6)
}

// hourMs is how long a process has run already, for the module: its clock has no origin, and 0 would be no time.
const moduleUptimeMs = 3_600_000

// entry puts one in force. again: it is of a whole state, and may be in force already.
func (a *applier) applyEntry(e distribution.Entry) {
	now, at := a.now()
	switch e.Kind {
	case distribution.PurgeObject:
		a.purge(at, policy.Purged{Object: e.Name, Group: int(e.Group), Age: age(now, e.EffectiveAt)})
	case distribution.PurgeGroup:
		a.purge(at, policy.Purged{Group: int(e.Group), Age: age(now, e.EffectiveAt)})
	case distribution.Revision:
		if e.Version <= a.revision {
			return
		}
		live, err := config.ParseLive("revision", string(e.Body))
		if err != nil {
			a.err = err
			return
		}
		a.live, a.revision = live, e.Version
	case distribution.List:
		a.applyList(now, e)
	case distribution.Drain, distribution.DrainEnded:
		a.setDrain(now, e.Name, e.Kind == distribution.Drain)
	}
}

func age(now float64, made int64) time.Duration {
	return time.Duration(max(0, now-float64(made)) * 1e6)
}

func (a *applier) purge(at policy.Time, p policy.Purged) {
	a.actions = a.router.Handle(at, p, a.actions[:0])
}

// list takes that of the process's own zone; of others it only knows that they changed.
func (a *applier) applyList(now float64, e distribution.Entry) {
	if e.Name != sourceName(a.process.zone) {
		return
	}
	c, err := storestate.DecodeChange(e.Body)
	if err != nil || c.List == nil {
		a.err = fmt.Errorf("list of %s: %v", e.Name, err)
		return
	}
	a.installList(now, c.List)
}

func (a *applier) installList(now float64, list *storestate.List) {
	l := membership.Snapshot{Generation: list.Generation}
	for _, s := range list.Servers {
		m := membership.Member{Member: policy.Member{ID: s.ID, Weight: s.Weight}, Addr: s.Addr}
		l.Entries = append(l.Entries, membership.Entry{Member: m})
	}
	a.handle(now, l)
}

func (a *applier) setDrain(now float64, name string, on bool) {
	if id, ok := a.sim.servers[name]; ok && a.sim.zoneOf(id) == a.process.zone {
		a.handle(now, membership.ManualDrain{ID: id, On: on})
	}
}

// tell has the ledger take an event, and the module what it publishes.
func (a *applier) handle(now float64, e membership.Event) {
	for _, x := range a.ledger.Handle(now, e, nil) {
		switch x := x.(type) {
		case membership.Publish:
			m := policy.Members{Kind: policy.ListChanges, Version: int64(x.Version)}
			if x.Complete {
				m.Kind = policy.ListFull
			}
			for _, y := range x.Members {
				m.Entries = append(m.Entries, y.Member)
			}
			_, at := a.now()
			a.actions = a.router.Handle(at, m, a.actions[:0])
		case membership.Wake:
			a.sim.setTimer(a.process, slotLedger, x.At-now)
		}
	}
}

// due tells the ledger that a wake that it asked for is due.
func (a *applier) tick() {
	now, _ := a.now()
	a.handle(now, membership.Tick{})
}

// change applies one of the store's log, as a member of the store or today's follower does.
func (a *applier) applyChange(raw []byte) {
	c, err := storestate.DecodeChange(raw)
	if err != nil {
		a.err = err
		return
	}
	if a.state.Apply(c).Verdict != storestate.OK {
		return
	}
	now, at := a.now()
	switch c.Kind {
	case storestate.AddPurge:
		a.purge(at, policy.Purged{Object: c.Purge.Object, Group: c.Purge.Group, Age: age(now, int64(c.Purge.IssuedAt))})
	case storestate.SetList:
		if c.Name == sourceName(a.process.zone) {
			a.installList(now, c.List)
		}
	case storestate.StartDrain, storestate.EndDrain:
		a.setDrain(now, c.Name, c.Kind == storestate.StartDrain)
	case storestate.SetConfig:
		if live, err := config.ParseLive("revision", c.Text); err == nil {
			a.live, a.revision = live, a.state.Revision().Number
		}
	}
}
