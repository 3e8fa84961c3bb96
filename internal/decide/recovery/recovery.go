// Package recovery decides what a restarted proxy must honour before its sources answer again. It owns the
// state that survives a crash: drains, departures, purges, the server lists last accepted, and the configuration revision.
// Events go in through State.Apply; State.Encode produces the bytes to store; State.Plan says what to do at a start. It
// performs no I/O and reads no clock: internal/state stores the events. Its decisions are tested in this package.
//
// When the stored state and a source disagree, the order of precedence is: a list of a later generation from the source,
// then the stored state. An older list, or a different one of the same generation, is not accepted, and a server that was
// draining stays draining until a later list or command says otherwise.
//
// All times are Unix milliseconds unless a comment says otherwise.
package recovery

// Settings say how long stored obligations stay in force.
type Settings struct {
	PurgePropagation float64 // ms until a purge has reached every server; a purge is kept for twice this, see purgeExpiresAt
	PurgeGrace       float64 // ms that a purge is kept in addition
	GoneRetention    float64 // ms that a server is kept after it has left
}
