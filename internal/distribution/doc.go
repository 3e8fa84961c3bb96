// Package distribution carries purges, revisions of the configuration, server lists and drains from the members of the store to every
// process, through levels of distributors. A Node subscribes to a distributor of the level above, distributes to processes of the level
// below, or both. A Node at a member of the store is a root of the tree.
//
// The package does the I/O for the state machines of internal/decide/distribution: it opens the links (mutual TLS of the cluster, see
// internal/store), runs the machines' timers, and applies the entries that they deliver. It decides nothing: which distributor a
// process subscribes to, which entries may be left out, and what a process may serve while it is behind is decided, and tested, in
// internal/decide/distribution. The tests of this package run the machines over sockets, under faults.
package distribution
