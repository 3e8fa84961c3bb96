// Package fleetview combines what all processes observe of the servers into one view. Each process publishes small digests of what
// it has observed itself, and every process merges the digests that it receives. The entries of a process come from that process
// alone, and of two entries for one server the one with the higher incarnation and version replaces the other. Merging is therefore
// idempotent, commutative and associative: digests lead to the same view in whatever order they arrive. The view is read through
// estimators that bound the influence of processes that report wrong figures.
//
// The package has no clock and sends nothing: callers pass times in Unix ms, and internal/peers sends the digests. The package
// makes no decisions: its estimates are advice to the code that does. Its rules are tested in view_test.go as properties over
// randomly drawn digests, orders of arrival and wrong reports.
package fleetview
