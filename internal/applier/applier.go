// Package applier puts replicated changes into effect in this process: lists and drains go to the server registry, purges to
// the request path, and all of them to the state recorder. It makes no difference whether the changes come from this
// process's store or from a distributor. It decides nothing: decide/storestate decided what a change means for the store, and
// decide/membership decides what becomes of the servers. Its tests check the effects and their order.
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
	HandleEvent func(membership.Event)                            // the registry's
	SetDrain    func(server policy.ServerID, draining bool) error // in the registry, and recorded
	HandlePurge func(core.Purge)                                  // the request path's
	Recorder    Recorder                                          // nil: nothing is recorded
}

// Run applies changes until the channel is closed.
func (a *Applier) Run(changes <-chan storestate.Change) {
	for c := range changes {
		a.Apply(c)
	}
}

// Apply puts one change into effect. It ignores changes that are neither a list, a drain nor a purge, and drains of names
// that are no server's.
func (a *Applier) Apply(c storestate.Change) {
	switch c.Kind {
	case storestate.SetList:
		a.applyList(c.List)
	case storestate.StartDrain, storestate.EndDrain:
		if id, ok := serverlist.ParseID(c.Name); ok {
			_ = a.SetDrain(id, c.Kind == storestate.StartDrain) // the store has the drain, and the recorder logs its failures
		}
	case storestate.AddPurge:
		a.applyPurge(*c.Purge)
	}
}

// applyList puts a list into effect, unless one of its servers has a zone or kind that this site does not have. The list is
// recorded before it takes effect.
func (a *Applier) applyList(l *storestate.List) {
	list := serverlist.NewList(l.Generation, l.Servers)
	entries := a.ListEntries(list)
	if !a.knownHere(list, entries) {
		return
	}
	if a.Recorder != nil {
		_ = a.Recorder.RecordList(ListSource, list) // the recorder logs its failures
	}
	a.HandleEvent(membership.Snapshot{Source: a.Source, Generation: list.Generation, Entries: entries})
}

// knownHere reports whether this site has the zones and kinds of all entries, and logs those that it has not.
func (a *Applier) knownHere(list *serverlist.List, entries []membership.Entry) bool {
	known := true
	for i, e := range entries {
		if e.Zone < 0 || e.Kind < 0 {
			a.Log.Error("list").Str("server", serverlist.FormatID(list.Servers[i].ID)).
				Msg("list from the store rejected: zone or kind of a server is unknown at this site")
			known = false
		}
	}
	return known
}

// applyPurge puts a purge into effect before it is recorded: after a crash in between, its source sends it again.
func (a *Applier) applyPurge(x storestate.Purge) {
	p := core.Purge{Object: x.Object, Group: x.Group, At: x.IssuedAt}
	if p.Object != "" {
		p.Group = noGroup
	}
	a.HandlePurge(p)
	if a.Recorder != nil {
		a.Recorder.RecordPurgeAsync(recovery.Purge{
			Object: p.Object, Group: x.Group, IssuedAt: x.IssuedAt, NotifiedAt: a.Clock.Now(),
		})
	}
}

// noGroup is the group of a purge of an object.
const noGroup = -1
