// Package discoveryclient follows the discovery service, which publishes the list of cache servers and purges as
// numbered events: first as JSON in the configuration, then as frames over TCP. decide/discovery decides when the service
// is called and which of several calls is used. Client carries that out: it dials, reads and decodes, and delivers each
// event once and in order. The field names of the protocol are mapped here and are not used in other packages. Frames,
// silence, address changes and slow services are tested in this package over real connections.
package discoveryclient

import (
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
)

// Event is one event of discovery: a server list or changes of it, or a purge. An event of a kind that this version does not
// know has neither. The times in it are those of other machines' clocks until Translate is called.
type Event struct {
	Revision uint64
	Complete bool          // Members is the complete list
	Members  []core.Member // with Complete false: the servers that have changed
	Purge    *core.Purge   // nil: the event is not a purge
}

// hasEffect reports whether the event changes anything.
func (e Event) hasEffect() bool { return e.Purge != nil || e.Complete || e.Members != nil }

// Dispatch calls purge with a purge, and list with any other event, as a snapshot or delta. source is the index of discovery
// in membership.Settings.Sources.
func (e Event) Dispatch(source int, list func(membership.Event), purge func(core.Purge)) {
	if e.Purge != nil {
		purge(*e.Purge)
		return
	}
	entries := make([]membership.Entry, len(e.Members))
	for i, m := range e.Members {
		entries[i].Member = m
	}
	if e.Complete {
		list(membership.Snapshot{Source: source, Generation: e.Revision, Entries: entries})
	} else {
		list(membership.Delta{Source: source, Generation: e.Revision, Entries: entries})
	}
}
