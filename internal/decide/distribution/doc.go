// Package distribution decides how purges, revisions of the configuration, server lists and drains get from the replicated store to
// every process, through levels of distributors. Distributor and Subscriber are state machines: Handle(now, event) returns actions in
// the order in which they are to be carried out. The package owns the encoding on the wire, what may be left out of a stream because
// something later covers it, which distributor a process subscribes at, and what a process may serve while it may be behind. It opens
// no socket, reads no clock and applies nothing itself: internal/distribution does.
//
// Its decisions are tested in this package: an exhaustive model of two levels, models of one stream under drawn faults, and mutations
// of both that the checker (package check) must catch.
//
// A machine handles one stream. A process runs one machine for each stream, so that small and urgent entries (purges) do not wait
// behind large ones (lists). Times are Unix ms, durations ms, and sizes bytes, unless stated otherwise.
package distribution
