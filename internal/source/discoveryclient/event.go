// Package discoveryclient follows the discovery service, which publishes the list of cache servers and purges as
// numbered events: first as JSON in the configuration, then as frames over TCP. Client is the shell round
// decide/discovery, which decides when the service is called and which of several calls counts; the client dials, reads
// and decodes, and hands each event on once and in order. The protocol's themed field names are mapped here and reach no
// other package. Frames, silence, address changes and slow services are tested here against real connections.
package discoveryclient

import (
	"ravenwheel/internal/core"
	"ravenwheel/internal/decide/membership"
)

// Event is one event of discovery: a part of the server list, or a purge, or nothing that this version knows. Its times
// are readings of other machines' clocks until Translate.
type Event struct {
	Revision uint64
	Complete bool          // Members is the complete list
	Members  []core.Member // with Complete false: the servers that have changed
	Purge    *core.Purge   // nil: the event is no purge
}

// hasEffect reports whether the event changes anything.
func (e Event) hasEffect() bool { return e.Purge != nil || e.Complete || e.Members != nil }

// Dispatch passes a purge to purge, and anything else to list, as a snapshot or delta of the source with this index in
// membership.Settings.Sources.
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
