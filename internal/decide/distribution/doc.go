// Package distribution decides how purges, revisions of the configuration, server lists and drains get from the replicated store to
// every process, through levels of distributors. Distributor and Subscriber are state machines: Handle(now, event) returns actions in
// the order in which they are to be carried out. The package owns the encoding on the wire, what may be left out of a stream because
// a later entry covers it, which distributor a process subscribes at, and what a process may serve while it may be behind. It opens
// no socket, reads no clock and applies nothing itself: internal/distribution does.
//
// Terms: an entry's sequence is its index in the store's log; an epoch is one history of that log, see Position. A later entry
// covers an earlier one if whoever has applied the later one has the effect of both, as a newer revision of the configuration does with
// an older one; covered entries are not sent. A watermark says up to which time nothing is missing; see Watermark. The level above
// is the distributor that this process subscribes at (its parent), the level below are its own subscribers.
//
// Its decisions are tested in this package: an exhaustive model of two levels, models of one stream under drawn faults, and mutations
// of both that the checker (package check) must catch.
//
// A machine handles one stream. A process runs one machine for each stream, so that small and urgent entries (purges) do not wait
// behind large ones (lists). Times are Unix ms, durations ms, and sizes bytes, unless stated otherwise.
package distribution
