// Package fleetview combines what all processes observe of the servers into one view. Each process publishes small digests of what
// it has seen itself, and every process merges the digests that it receives. Only a process writes its own entries, and of those the
// newest, by incarnation and version, stands: merging is idempotent, commutative and associative, so that any order of arrival ends
// in the same view. Reading goes through estimators that bound the influence of processes that report wrong figures.
//
// The package owns no clock and sends nothing: times come in as Unix ms, and digests go out to internal/peers. What is read here is
// advice to deciders; it decides nothing itself. Its rules are tested in view_test.go as properties over drawn digests, orders and
// wrong reports.
package fleetview
