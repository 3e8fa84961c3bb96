// Package peers lets the processes of a fleet find each other, detect failed ones, and exchange what they observe. Membership
// follows SWIM with the refinements of Lifeguard (hashicorp/memberlist). Every datagram and stream is bound to its sender by a
// certificate of the cluster. Digests go to the view of the fleet (internal/decide/fleetview). The package is off unless the
// operator's file has "peers".
//
// The package makes no decisions about requests or servers. What a digest means is decided, and tested, in
// internal/decide/fleetview, and which datagrams are repeated ones in internal/decide/dedup. Membership under faults is tested in
// internal/lab/multiprocess.
package peers
