// Package recovery decides which purges, drains and server lists a restarted proxy applies before its sources answer again. It
// holds the state that survives a crash: drains, departures, purges, the server lists last accepted, and the configuration
// revision. State.Apply adds an event, State.Encode returns the bytes to store, and State.Plan returns what the proxy must apply
// when it starts. The package performs no I/O and reads no clock: internal/state stores the events. Its decisions are tested in
// this package.
//
// When the stored state and a source disagree, a list of a later generation from the source takes precedence over the stored
// state. An older list, or a different one of the same generation, is not accepted, and a server that was draining stays
// draining until a later list or command ends the drain.
//
// All times are Unix milliseconds unless a comment says otherwise.
package recovery

// Settings define how long stored purges and departures are kept.
type Settings struct {
	PurgePropagation float64 // ms until a purge has reached every server; a purge is kept for twice this, see purgeExpiresAt
	PurgeGrace       float64 // ms for which a purge is kept in addition
	GoneRetention    float64 // ms for which a server is kept after it has left
}
