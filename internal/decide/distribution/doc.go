// Package distribution decides how purges, revisions of the configuration, server lists and drains get from the replicated store to
// every process, through levels of distributors. Distributor and Subscriber are state machines: Handle(now, event) returns actions,
// which the caller carries out in order. The package owns the encoding on the wire, which entries of a stream may be left out because
// a later entry covers them, which distributor a process subscribes to, and which copies a process may serve while it may be behind.
// It opens no socket, reads no clock and applies nothing itself: internal/distribution does.
//
// Terms: an entry's sequence is its index in the store's log; an epoch is one history of that log, see Position. A later entry
// covers an earlier one if a process that has applied the later one has the effect of both, as with a newer and an older revision of
// the configuration; covered entries are not sent. A watermark is the time up to which no committed entry is missing; see Watermark.
// The level above is the distributor that this process subscribes to (its parent); the level below is its own subscribers.
//
// The decisions are tested in this package: by an exhaustive model of two levels, by random walks of the model with one stream and
// random faults, and by mutations of the machines that the checker (package check) must catch.
//
// A machine handles one stream. A process runs one machine of each type for each stream, so that small and urgent entries (purges)
// do not wait behind large ones (lists). Times are Unix ms, durations ms, and sizes bytes, unless stated otherwise.
package distribution
