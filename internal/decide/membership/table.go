// Package membership decides which cache servers a proxy may use. Sources (discovery, a watched list file, the shared
// store) report complete snapshots or deltas, and each source numbers its own generations. Table merges them into one
// versioned list for the router and the connection pools.
//
// The package decides on the life cycle of each server, which source applies if several list the same server, drains that
// go on after the server is no longer listed, the reservation of addresses, and the steps in which weights change. It does
// no I/O and reads no clock: the caller passes the time with each event and carries out the returned actions in order.
// The decisions are tested in this package, against a simple model and with the transcripts in testdata.
//
// Times are float64 milliseconds on the caller's clock throughout, unless a name or comment says otherwise.
package membership

import (
	"cmp"
	"slices"

	"ravenwheel/policy"
)

// Member is a server and the address at which it listens.
type Member struct {
	policy.Member
	Addr string // host:port, as dialled
}

// server is the table's record of one server.
type server struct {
	id        policy.ServerID
	entries   []*sourceEntry // by source; nil: that source does not list the server
	phase     Phase
	since     float64 // start of the phase, ms
	reason    string  // for the phase
	current   Member  // as published last or, if the server is not published, as it would be
	published bool    // published, and not as Gone
	immediate bool    // when the server was reconciled last, its facts came from an immediate source

	manualDrain      bool
	manualDrainSince float64 // ms

	restored bool    // the phase has not changed since Restore, and its reason is not known
	addr     string  // the address reserved for the server; "": none
	deadline float64 // ms. Draining: the server is gone then, unless listed again. Gone: it is deleted then

	nextWeightStep float64 // ms; 0: the weight has reached its target
}

// Table is the state machine that merges the sources. It is not safe for concurrent use. See New.
type Table struct {
	settings Settings
	sources  []*source
	servers  map[policy.ServerID]*server
	now      float64 // ms
	version  uint64  // of the last Publish

	reservations map[string]map[policy.ServerID]struct{} // by address: servers in use or draining there
	waiting      map[string]map[policy.ServerID]struct{} // by address: servers that wait for it
	timers       timers
	wake         float64 // ms, the last Wake requested

	manualDrains      map[policy.ServerID]float64 // drains that are on: their start, ms
	manualDrainsEnded map[policy.ServerID]float64 // end of the last drain, ms: the server warms up from then on

	restoreCalled      bool                       // Restore was called
	inUseBeforeRestart map[policy.ServerID]Member // servers in use before the restart

	// Used while one event is handled.
	actions []Action
	dirty   map[policy.ServerID]struct{} // servers to reconcile
	changed []Member                     // servers to publish
}

// New returns an empty table. It fails if no source is configured, or if a setting is negative or not finite.
func New(s Settings) (*Table, error) {
	if err := s.check(); err != nil {
		return nil, err
	}
	t := &Table{
		settings:          s,
		servers:           map[policy.ServerID]*server{},
		reservations:      map[string]map[policy.ServerID]struct{}{},
		waiting:           map[string]map[policy.ServerID]struct{}{},
		manualDrains:      map[policy.ServerID]float64{},
		manualDrainsEnded: map[policy.ServerID]float64{},
		dirty:             map[policy.ServerID]struct{}{},
	}
	for _, x := range s.Sources {
		t.sources = append(t.sources, &source{Source: x, listed: map[policy.ServerID]bool{}})
	}
	return t, nil
}

// Handle processes one event at the time now and appends the resulting actions to actions. Time never goes back: if now is
// before that of an earlier call, the earlier call's time is used.
func (t *Table) Handle(now float64, e Event, actions []Action) []Action {
	t.now, t.actions = max(now, t.now), actions
	switch e := e.(type) {
	case Snapshot:
		t.applyList(list{source: e.Source, generation: e.Generation, entries: e.Entries, complete: true})
	case Delta:
		t.applyList(list{source: e.Source, generation: e.Generation, entries: e.Entries})
	case Heartbeat:
		t.heartbeat(e.Source)
	case ManualDrain:
		t.setManualDrain(e)
	case ManualDrainEnded:
		t.manualDrainsEnded[e.ID] = min(e.At, t.now)
		if t.servers[e.ID] != nil {
			t.markDirty(e.ID)
		}
	}
	t.expire()
	t.reconcile()
	t.publish()
	t.requestWake()
	actions, t.actions = t.actions, nil
	return actions
}

func (t *Table) emit(a Action) { t.actions = append(t.actions, a) }

// markDirty has reconcile handle a server at the end of the current event.
func (t *Table) markDirty(id policy.ServerID) { t.dirty[id] = struct{}{} }

// newServer adds a server in phase None.
func (t *Table) newServer(id policy.ServerID) *server {
	s := &server{id: id, entries: make([]*sourceEntry, len(t.sources))}
	s.manualDrainSince, s.manualDrain = t.manualDrains[id]
	t.servers[id] = s
	return s
}

// publish emits the servers that have changed, each once and in its latest state, sorted by id.
func (t *Table) publish() {
	if len(t.changed) == 0 {
		return
	}
	latest := make(map[policy.ServerID]int, len(t.changed))
	for i, m := range t.changed {
		latest[m.ID] = i
	}
	members := make([]Member, 0, len(latest))
	for i, m := range t.changed {
		if latest[m.ID] == i {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	t.changed = t.changed[:0]
	t.version++
	t.emit(Publish{Version: t.version, Complete: t.version == 1, Members: members})
}
