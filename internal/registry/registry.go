// Package registry holds the list of cache servers of a process. It runs the state machine of decide/membership, which makes
// all decisions: the registry adds the clock and its timer, handles one event at a time, and carries out the table's actions
// in their order. It reads no source itself; the sources pass their events to Handle. The tests here check that timed changes
// and concurrent events are published in order.
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
	// Publish is called with each change of the list, in order. It must not call the registry.
	Publish func(membership.Publish)
	// OnTransition is called with each change of a server's phase; nil: it is not called. It must not call the registry.
	OnTransition func(membership.Transition)
}

// Registry is safe for concurrent use. See New.
type Registry struct {
	opt Options

	mu        sync.Mutex
	table     *membership.Table
	actions   []membership.Action // of the present event; the memory is reused
	stopTimer func()
	version   uint64 // of the last Publish; 0: none
}

// New returns an empty registry. It fails if membership.New does.
func New(o Options) (*Registry, error) {
	table, err := membership.New(o.Membership)
	if err != nil {
		return nil, err
	}
	return &Registry{opt: o, table: table, stopTimer: func() {}}, nil
}

// Servers returns the result of membership.Table.Servers and the version that was published last.
func (r *Registry) Servers() (servers []membership.ServerStatus, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.Servers(), r.version
}

// IsKnown returns the result of membership.Table.IsKnown.
func (r *Registry) IsKnown(id policy.ServerID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.table.IsKnown(id)
}

// Restore continues from the state before a restart; see membership.Table.Restore. It must be called before the first event.
func (r *Registry) Restore(saved []membership.SavedMember, sources map[int]membership.SavedSource) {
	r.mu.Lock()
	r.table.Restore(r.opt.Clock.Now(), saved, sources)
	r.mu.Unlock()
	r.Handle(membership.Tick{})
}

// Handle processes an event. The resulting changes have been published when it returns.
func (r *Registry) Handle(e membership.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.actions = r.table.Handle(r.opt.Clock.Now(), e, r.actions[:0])
	isInitial := r.version == 0
	for _, a := range r.actions {
		switch a := a.(type) {
		case membership.Publish:
			r.opt.Publish(a)
			r.version = a.Version
		case membership.Wake:
			r.stopTimer()
			r.stopTimer = r.opt.Clock.After(a.At-r.opt.Clock.Now(), func() { r.Handle(membership.Tick{}) })
		case membership.Transition:
			r.transition(a, isInitial)
		case membership.Rejected:
			r.opt.Log.Warn("source").Str("source", r.sourceName(a.Source)).Uint64("generation", a.Generation).Err(a.Err).
				Msg("server list rejected")
		case membership.SilenceChanged:
			r.logSilence(a)
		}
	}
}

// transition reports a change of a server's phase. isInitial: nothing was published before, and the change is not logged, as the
// first list would log a line for each server.
func (r *Registry) transition(a membership.Transition, isInitial bool) {
	if r.opt.OnTransition != nil {
		r.opt.OnTransition(a)
	}
	if isInitial {
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
		line.Msg("source sends again")
	}
}

// sourceName returns the configured name of a source, or its index if there is none.
func (r *Registry) sourceName(i int) string {
	if i < 0 || i >= len(r.opt.Membership.Sources) {
		return strconv.Itoa(i)
	}
	return r.opt.Membership.Sources[i].Name
}
