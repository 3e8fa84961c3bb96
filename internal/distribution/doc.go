// Package distribution is the shell round internal/decide/distribution: it carries purges, revisions of the configuration, server lists
// and drains from the members of the store to every process, through levels of distributors. A Node subscribes at a distributor of the
// level above, distributes to processes below, or both; at a member of the store a tree begins.
//
// The package opens the links (mutual TLS of the cluster, see internal/store), keeps the machines' time, and has what they put into
// force applied. It decides nothing: who subscribes where, what may be left out, and what a process may serve while it is behind is
// decided, and tested, in internal/decide/distribution. Here the machines are tested over sockets, under faults.
package distribution
