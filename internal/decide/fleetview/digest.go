package fleetview

import "ravenwheel/policy"

// Digest is what one process publishes: its own arrivals, what it saw of each server whose figures have changed, and the objects
// requested most. It is encoded as a CBOR array, so that the order of the fields is part of the protocol.
type Digest struct {
	_           struct{} `cbor:",toarray"`
	From        string   // the publisher
	Incarnation uint64   // of the publisher; rises with each of its starts
	Version     uint64   // rises with each digest of an incarnation
	Zone        string   // of the publisher
	Arrivals    Level    // requests a second
	Servers     []ServerLoad
	Objects     []ObjectRate
	Age         float64 // ms since the sender received it; 0 from its publisher
	Partial     bool    // repeats entries of an older version, without arrivals and objects
}

// ServerLoad is what one process saw of one server within the collector's window.
type ServerLoad struct {
	_          struct{} `cbor:",toarray"`
	Server     policy.ServerID
	Attempts   Level // a second
	Failures   Level // of them, a second: errors, connections that broke or were never established
	Rejections Level // of them, a second: rejected by a server that is full
	Overdue    Level // of them, a second: timed out, or answered later than the latency objective of their class
	InFlight   Level // attempts in flight
	Latency    Latency
}

// idle reports whether the process sends the server nothing.
func (l ServerLoad) idle() bool { return l.Attempts == 0 && l.InFlight == 0 }

const (
	// minLevelChange is the least change of a rate, in steps of a Level, that is published: about 30 %.
	minLevelChange = 3
	// minInFlightChange is that of the attempts in flight, in steps too: a factor of two, as they vary much at few requests a second.
	minInFlightChange = stepsPerOctave
	// minLatencyChange is the least change of a latency bucket, as a fraction of the answers, that is published.
	minLatencyChange = 0.4
)

// near reports whether l differs too little from the entry published last to be published again.
func (l ServerLoad) near(published ServerLoad) bool {
	return l.Attempts.near(published.Attempts, minLevelChange) &&
		l.Failures.near(published.Failures, minLevelChange) &&
		l.Rejections.near(published.Rejections, minLevelChange) &&
		l.Overdue.near(published.Overdue, minLevelChange) &&
		l.InFlight.near(published.InFlight, minInFlightChange) &&
		l.Latency.near(published.Latency, minLatencyChange)
}

// ObjectRate is how often one process is asked for an object.
type ObjectRate struct {
	_      struct{} `cbor:",toarray"`
	Object uint64
	Rate   Level // requests a second
}
