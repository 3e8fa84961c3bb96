// Package peers lets the processes of a fleet find each other, detect failed ones, and exchange what they observe: membership by SWIM
// with Lifeguard's refinements (hashicorp/memberlist), with every datagram and stream bound to its sender by a certificate of the
// cluster, and digests for the view of the fleet (internal/decide/fleetview). It is off unless the operator's file has "peers".
//
// The package decides nothing about requests or servers. What a digest means is decided, and tested, in internal/decide/fleetview, and
// which datagrams are repeated in internal/decide/dedup. How membership behaves under faults is tested in internal/lab/multiprocess.
package peers
