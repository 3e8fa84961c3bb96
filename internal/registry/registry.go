// Package registry is the shell round the ledger of members (decide/membership): it brings the clock, takes the sources'
// words in, and carries out what the ledger decides, in order and one word at a time.
package registry

import (
	"sync"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/membership"
	"ravenwheel/internal/logs"
	"ravenwheel/policy"
)

// Options set up a roster.
type Options struct {
	Membership membership.Settings
	Clock      *clock.Clock
	Log        *logs.Log
	// Publish gets what has changed, in order.
	Publish func(membership.Publish)
	// OnTransition gets every step in a server's life, if it is set.
	OnTransition func(membership.Transition)
}

// Registry holds the one ledger.
type Registry struct {
	opt Options

	mu      sync.Mutex
	ledger  *membership.Table
	acts    []membership.Action
	unset   func() // of the one timer
	version uint64
}

// New returns an empty roster.
func New(o Options) (*Registry, error) {
	l, err := membership.New(o.Membership)
	if err != nil {
		return nil, err
	}
	r := &Registry{opt: o, ledger: l, unset: func() {}}
	return r, nil
}

// Servers are all servers that the ledger remembers, and the version that is in use.
func (r *Registry) Servers() (views []membership.ServerStatus, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Servers(), r.version
}

// Knows tells whether a server is listed, remembered or drained by hand.
func (r *Registry) Knows(id policy.CacheID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.Knows(id)
}

// Restore has the ledger take up where one stood before a restart. It comes before the first Tell.
func (r *Registry) Restore(list []membership.SavedMember, floors map[int]uint64) {
	r.mu.Lock()
	r.ledger.Restore(r.opt.Clock.Now(), list, floors)
	r.mu.Unlock()
	r.Handle(membership.Tick{})
}

// Handle takes in what a source says.
func (r *Registry) Handle(e membership.Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.acts = r.ledger.Handle(r.opt.Clock.Now(), e, r.acts[:0])
	first := r.version == 0
	for _, a := range r.acts {
		switch a := a.(type) {
		case membership.Publish:
			r.opt.Publish(a)
			r.version = a.Version
		case membership.Wake:
			r.unset()
			r.unset = r.opt.Clock.After(a.At-r.opt.Clock.Now(), func() { r.Handle(membership.Tick{}) })
		case membership.Transition:
			if r.opt.OnTransition != nil {
				r.opt.OnTransition(a)
			}
			if !first { // at the start they come in hundreds, and nothing has happened to them
				r.opt.Log.Debug("member").Uint64("id", uint64(a.Member.ID)).Str("addr", a.Member.Addr).
					Stringer("from", a.From).Stringer("to", a.To).Str("why", a.Reason).Msg("member moved")
			}
		case membership.Rejected:
			r.opt.Log.Warn("source").Str("source", r.name(a.Source)).Uint64("generation", a.Generation).Str("why", a.Reason).
				Msg("list not taken")
		case membership.SilenceChanged:
			r.opt.Log.Warn("source").Str("source", r.name(a.Source)).Bool("silent", a.Silent).Msg("source silent, or heard again")
		}
	}
}

func (r *Registry) name(at int) string {
	if at < 0 || at >= len(r.opt.Membership.Sources) {
		return "?"
	}
	return r.opt.Membership.Sources[at].Name
}
