// Package applier takes in what the members of a store share, and has it come into force in this process: lists and drains
// go to the server registry, purges to the request's path, and all of them to the journal. It is the same whether a member
// of the store tells them or a distributor, and is told them in order by one goroutine. It decides nothing: what a change
// is worth was decided by the store's state (decide/storestate), and what becomes of it is by the registry's ledger.
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

// ListSource is the name under which the journal keeps the store's list.
const ListSource = "store"

// Keeper is the journal's part.
type Keeper interface {
	RecordList(source string, set *serverlist.List) error
	RecordPurgeAsync(recovery.Purge)
}

// Options say where facts go.
type Options struct {
	Clock   *clock.Clock
	Log     *logs.Log
	Source  int // the store's among the registry's sources
	Entries func(*serverlist.List) []membership.Entry
	Tell    func(membership.Event)                 // the registry
	Drained func(id policy.CacheID, on bool) error // the registry and the journal
	Purged  func(core.Purge)                       // the request's path
	Keeper  Keeper                                 // nil: nothing is kept
}

// Take has one fact come into force. A kind that is none of facts is passed over.
func (o *Options) Take(c storestate.Change) {
	switch c.Kind {
	case storestate.SetList:
		o.list(c.List)
	case storestate.StartDrain, storestate.EndDrain:
		if id, ok := serverlist.ParseID(c.Name); ok {
			_ = o.Drained(id, c.Kind == storestate.StartDrain) // the store has it; the keeper says what it could not keep
		}
	case storestate.AddPurge:
		o.purge(*c.Purge)
	}
}

// Run takes facts in until there are no more.
func (o *Options) Run(heard <-chan storestate.Change) {
	for c := range heard {
		o.Take(c)
	}
}

// list takes a list whole, or not at all where one of its servers is not of this site.
func (o *Options) list(l *storestate.List) {
	set := serverlist.NewList(l.Generation, l.Servers)
	entries := o.Entries(set)
	usable := true
	for i, e := range entries {
		if e.Zone < 0 || e.Kind < 0 {
			o.Log.Error("list").Str("server", serverlist.FormatID(set.Servers[i].ID)).Msg("the store's list is not of this site: not used")
			usable = false
		}
	}
	if !usable {
		return
	}
	if o.Keeper != nil { // before it is in force, as a watched list is
		_ = o.Keeper.RecordList(ListSource, set)
	}
	o.Tell(membership.Snapshot{Source: o.Source, Generation: set.Generation, Entries: entries})
}

// purge has a purge in force before it is kept: its source tells it again after a crash in between.
func (o *Options) purge(x storestate.Purge) {
	p := core.Purge{Object: x.Object, Group: x.Group, At: x.IssuedAt}
	if p.Object != "" {
		p.Group = -1
	}
	o.Purged(p)
	if o.Keeper != nil {
		o.Keeper.RecordPurgeAsync(recovery.Purge{Object: p.Object, Group: x.Group, IssuedAt: p.At, NotifiedAt: o.Clock.Now()})
	}
}
