// Package applier puts replicated changes into effect in this process: lists and drains go to the server registry, purges to
// the request path, and all of them to the state recorder. Changes from this process's store and from a distributor are applied
// in the same way. The decisions are made elsewhere: decide/storestate decides what a change means for the store, and
// decide/membership what it means for the servers. The tests here check the effects and their order.
package applier

import (
	"ravenwheel/internal/clock"
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/decide/recovery"
	"ravenwheel/internal/decide/serverlist"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// ListSource is the source under which the store's list is recorded.
const ListSource = "store"

// Recorder stores what must survive a restart. See state.Recorder.
type Recorder interface {
	RecordList(source string, list *serverlist.List) error
	RecordPurgeAsync(recovery.Purge)
}

// Applier puts changes into effect. All fields but Log and Recorder must be set. It must be used by one goroutine.
type Applier struct {
	Clock       *clock.Clock
	Log         *logs.Log
	Source      int                                               // the store's index among the registry's sources
	ListEntries func(*serverlist.List) []membership.Entry         // converts a list for the registry
	HandleEvent func(membership.Event)                            // passes an event to the registry
	SetDrain    func(server policy.ServerID, draining bool) error // starts or ends a drain in the registry, and records it
	HandlePurge func(core.Purge)                                  // passes a purge to the request path
	Recorder    Recorder                                          // nil: nothing is recorded

	restoredGeneration uint64 // of the list from before a restart; 0: none
	purges             purgeTimes
}

// Run applies the changes of a queue until it is closed.
func (a *Applier) Run(queue *Queue) {
	for changes, ok := queue.take(); ok; changes, ok = queue.take() {
		for _, c := range changes {
			a.Apply(c)
		}
		queue.recordApplied(len(changes))
	}
}

// Apply puts one change into effect. It ignores changes that are neither a list, a drain nor a purge, and drains whose name is not
// a server id.
func (a *Applier) Apply(c storestate.Change) {
	switch c.Kind {
	case storestate.SetList:
		a.applyList(c.List)
	case storestate.StartDrain, storestate.EndDrain:
		if id, ok := serverlist.ParseID(c.Name); ok {
			_ = a.SetDrain(id, c.Kind == storestate.StartDrain) // the store holds the drain, and the recorder logs its own errors
		}
	case storestate.AddPurge:
		a.applyPurge(c)
	}
}

// RestoreList puts the list into effect that was recorded before a restart, before Run is called. The store's lists up to it, which
// this process receives again, are then ignored.
func (a *Applier) RestoreList(l *storestate.List) {
	a.applyList(l)
	a.restoredGeneration = l.Generation
}

// applyList puts a list into effect, unless one of its servers has a zone or kind that this site does not have. The list is
// recorded before it takes effect, see state.Recorder.RecordList.
func (a *Applier) applyList(l *storestate.List) {
	if l.Generation <= a.restoredGeneration {
		return
	}
	list := serverlist.NewList(l.Generation, l.Servers)
	entries := a.ListEntries(list)
	if !a.zonesAndKindsKnown(list, entries) {
		return
	}
	if a.Recorder != nil {
		_ = a.Recorder.RecordList(ListSource, list) // the recorder logs its own errors
	}
	a.HandleEvent(membership.Snapshot{Source: a.Source, Generation: list.Generation, Entries: entries})
}

// zonesAndKindsKnown reports whether this site has the zones and kinds of all entries, and logs each server for which it does not.
func (a *Applier) zonesAndKindsKnown(list *serverlist.List, entries []membership.Entry) bool {
	known := true
	for i, e := range entries {
		if e.Zone < 0 || e.Kind < 0 {
			a.Log.Error("list").Str("server", serverlist.FormatID(list.Servers[i].ID)).
				Msg("list from the store rejected: the server's zone or kind is not configured at this site")
			known = false
		}
	}
	return known
}

// applyPurge puts a purge into effect before it is recorded: if the process crashes between the two, the purge's source sends it
// again.
func (a *Applier) applyPurge(c storestate.Change) {
	purge := *c.Purge
	p := core.Purge{Object: purge.Object, Group: purge.Group, At: purge.IssuedAt}
	if p.Object != "" {
		p.Group = noGroup
	}
	now := a.Clock.Now()
	if !c.Replayed {
		p.At = a.purges.translate(purge, now+core.TimestampResolution)
	}
	a.HandlePurge(p)
	if a.Recorder != nil {
		a.Recorder.RecordPurgeAsync(recovery.Purge{Object: p.Object, Group: purge.Group, IssuedAt: p.At, NotifiedAt: now})
	}
}

// noGroup is the group of a purge that applies to one object.
const noGroup = -1
