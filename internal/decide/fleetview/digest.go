package fleetview

import "ravenwheel/policy"

// Digest is what one process publishes: the rate of requests that arrive at it, the figures of each server that have changed, and
// the objects requested most. It is encoded as a CBOR array, so that the order of the fields is part of the protocol.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	From        string   // the publisher
	Incarnation uint64   // of the publisher; increases with each of its starts
	Version     uint64   // increases with each digest of an incarnation
	Zone        string   // of the publisher
	Arrivals    Level    // requests per second
	Servers     []ServerLoad
	Objects     []ObjectRate
	Age         float64 // ms since the sender received it; 0 if the sender is the publisher
	Partial     bool    // the digest repeats entries of an older version, without Arrivals and Objects
}

// ServerLoad holds the figures that one process measured of one server within the collector's window.
type ServerLoad struct {
	_          struct{} `cbor:",toarray"`
	Server     policy.ServerID
	Attempts   Level // per second
	Failures   Level // attempts per second that ended in an error, or whose connection broke or was never established
	Rejections Level // attempts per second that an overloaded server rejected
	Overdue    Level // attempts per second that timed out, or were answered later than the latency objective of their class
	InFlight   Level // attempts in flight
	Latency    Latency
}

// idle reports whether the process has sent the server no attempts and has none in flight.
func (l ServerLoad) idle() bool { return l.Attempts == 0 && l.InFlight == 0 }

const (
	// minLevelChange is the smallest change of a rate that is published, in steps of a Level: about 30 %.
	minLevelChange = 3
	// minInFlightChange is the smallest change of the attempts in flight that is published, in steps of a Level: a factor of two,
	// because their number varies much at few requests per second.
	minInFlightChange = stepsPerOctave
	// minLatencyChange is the change of a latency bucket, as a fraction of all answers, above which the entry is published.
	minLatencyChange = 0.4
)

// near reports whether l differs too little from the last published entry to be published again.
func (l ServerLoad) near(published ServerLoad) bool {
	return l.Attempts.near(published.Attempts, minLevelChange) &&
		l.Failures.near(published.Failures, minLevelChange) &&
		l.Rejections.near(published.Rejections, minLevelChange) &&
		l.Overdue.near(published.Overdue, minLevelChange) &&
		l.InFlight.near(published.InFlight, minInFlightChange) &&
		l.Latency.near(published.Latency, minLatencyChange)
}

// ObjectRate is the rate at which one process receives requests for an object.
type ObjectRate struct {
	_      struct{} `cbor:",toarray"`
	Object uint64
	Rate   Level // requests per second
}
