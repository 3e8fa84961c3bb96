// Package registry holds the one list of cache servers of a process. It is the shell round decide/membership, which makes
// all decisions: it adds the clock and its timer, admits one event at a time, and carries out the table's actions in
// their order. It reads no source itself: those pass their events to Handle. Wiring and publication are tested here.
package registry

import (
	"strconv"
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// Options configure a Registry.
type Options struct {
	Membership membership.Settings
	Clock      *clock.Clock
	Log        *logs.Log
	// Publish gets each change of the list, in order. It must not call the registry.
	Publish func(membership.Publish)
	// OnTransition gets each step in a server's life cycle; nil: nobody does. It must not call the registry.
	OnTransition func(membership.Transition)
}

// Registry is safe for concurrent use. See New.
type Registry struct {
	opt Options

	mu        sync.Mutex
	table     *membership.Table
	actions   []membership.Action // reused by each event
	stopTimer func()
	version   uint64 // published last
}

// New returns an empty registry. The error is that of membership.New.
func New(o Options) (*Registry, error) {
	table, err := membership.New(o.Membership)
	if err != nil {
		return nil, err
	}
	return &Registry{opt: o, table: table, stopTimer: func() {}}, nil
}

// Servers returns the status of all servers that are listed or still remembered, by id, and the published version.
func (r *Registry) Servers() (servers []membership.ServerStatus, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Servers(), r.version
}

// IsKnown reports what membership.Table.Knows does.
func (r *Registry) IsKnown(id policy.ServerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsKnown(id)
}

// Restore continues from the state before a restart; see membership.Table.Restore. It must come before the first event.
func (r *Registry) Restore(saved []membership.SavedMember, minGenerations map[int]uint64) {
	r.mu.Lock()
	r.table.Restore(r.opt.Clock.Now(), saved, minGenerations)
	r.mu.Unlock()
	r.Handle(membership.Tick{})
}

// Handle processes an event. What it changes has been published when it returns.
func (r *Registry) Handle(e membership.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actions = r.table.Handle(r.opt.Clock.Now(), e, r.actions[:0])
	initial := r.version == 0
	for _, a := range r.actions {
		switch a := a.(type) {
		case membership.Publish:
			r.opt.Publish(a)
			r.version = a.Version
		case membership.Wake:
			r.stopTimer()
			r.stopTimer = r.opt.Clock.After(a.At-r.opt.Clock.Now(), func() { r.Handle(membership.Tick{}) })
		case membership.Transition:
			r.transition(a, initial)
		case membership.Rejected:
			r.opt.Log.Warn("source").Str("source", r.sourceName(a.Source)).Uint64("generation", a.Generation).Err(a.Err).
				Msg("server list rejected")
		case membership.SilenceChanged:
			r.logSilence(a)
		}
	}
}

// transition reports a step in a server's life cycle. The first list is not logged: it has all servers at once.
func (r *Registry) transition(a membership.Transition, initial bool) {
	if r.opt.OnTransition != nil {
		r.opt.OnTransition(a)
	}
	if initial {
		return
	}
	r.opt.Log.Debug("member").Uint64("id", uint64(a.Member.ID)).Str("addr", a.Member.Addr).
		Stringer("from", a.From).Stringer("to", a.To).Str("reason", a.Reason).Msg("server changed phase")
}

func (r *Registry) logSilence(a membership.SilenceChanged) {
	line := r.opt.Log.Warn("source").Str("source", r.sourceName(a.Source))
	if a.Silent {
		line.Msg("source is silent; its last list stays in use")
	} else {
		line.Msg("source is heard again")
	}
}

// sourceName returns the configured name of a source, or its index if there is none.
func (r *Registry) sourceName(i int) string {
	if i < 0 || i >= len(r.opt.Membership.Sources) {
		return strconv.Itoa(i)
	}
	return r.opt.Membership.Sources[i].Name
}
