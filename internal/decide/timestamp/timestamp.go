// Package timestamp translates the start times of servers in a source's events to this machine's clock. A timestamp is a reading of
// another machine's wall clock. That clock and this machine's may differ by any amount, and either may be stepped at any time, so a
// timestamp shows when something happened only if nothing else does:
//
//   - What arrives as an event happened no later than its arrival. A server that an event reports as started counts as started at
//     the arrival of the first event that says so, and a purge (which needs no translation) as made at its arrival. Both are safe: a
//     server warms up for longer, and a purge invalidates copies that were made while the event was on its way.
//   - Servers of the initial events may have been started at any time. The newest purge among these events was made some seconds ago
//     at most, and shows by how much the clocks are apart; see Calibrate. Without one, the clocks count as equal.
//
// The package reads no clock. Its decisions are tested in this package, where the tests step both clocks.
//
// Times are in ms: timestamps in Unix ms of the sender's clock, all others in ms of the caller's clock.
package timestamp

import "ravenwheel/policy"

// maxStarts bounds the number of servers whose starts are stored.
const maxStarts = 1 << 16

// Translator translates the timestamps of one source. It is not safe for concurrent use. See New.
type Translator struct {
	offset float64 // ms to add to a timestamp of the initial events to get a time of the caller's clock
	starts map[policy.ServerID]serverStart
}

// serverStart is the start time of a server as the source sent it, and its first translation. The translation must not change, or a
// server that was started once would count as started again.
type serverStart struct {
	timestamp, translated float64
	gone                  bool // the source has removed the server since
}

// New returns a translator for a source whose events are received from now on.
func New() *Translator { return &Translator{starts: map[policy.ServerID]serverStart{}} }

// Calibrate estimates the offset between the clocks. newestPurge is the timestamp of the newest purge among the initial events,
// which are read at now. The purge was made before now, so that the offset is never too small unless the sender's clock was stepped
// between the timestamps, and too large by the purge's age, some seconds.
func (t *Translator) Calibrate(now, newestPurge float64) { t.offset = now - newestPurge }

// InitialStart translates the timestamp of a server's start in the initial events. The timestamp 0 means that the server was started
// long ago, and is returned as 0.
func (t *Translator) InitialStart(now float64, id policy.ServerID, timestamp float64) float64 {
	return t.translate(id, timestamp, min(now, timestamp+t.offset))
}

// Start translates the timestamp of a server's start in an event that arrives at now. The timestamp 0 means that the server was
// started long ago, and is returned as 0.
func (t *Translator) Start(now float64, id policy.ServerID, timestamp float64) float64 {
	return t.translate(id, timestamp, now)
}

// Gone records that the source has removed a server. Its start is forgotten first when there are too many.
func (t *Translator) Gone(id policy.ServerID) {
	if s, known := t.starts[id]; known {
		s.gone = true
		t.starts[id] = s
	}
}

// translate returns the translation of a start that is known, or records and returns the translation of a new one.
func (t *Translator) translate(id policy.ServerID, timestamp, translation float64) float64 {
	if timestamp <= 0 {
		return 0
	}
	if s, known := t.starts[id]; known && s.timestamp == timestamp {
		s.gone = false
		t.starts[id] = s
		return s.translated
	}
	if len(t.starts) >= maxStarts {
		t.forgetGone()
	}
	t.starts[id] = serverStart{timestamp: timestamp, translated: translation}
	return translation
}

// forgetGone makes room for other servers.
func (t *Translator) forgetGone() {
	for id, s := range t.starts {
		if s.gone {
			delete(t.starts, id)
		}
	}
	if len(t.starts) >= maxStarts {
		clear(t.starts)
	}
}
