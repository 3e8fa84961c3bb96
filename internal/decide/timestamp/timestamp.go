// Package timestamp translates the times in events of other machines (when an object was purged, when a server was
// started) to this machine's clock. A timestamp is a reading of a wall clock, and wall clocks are stepped, this machine's
// as well as the others'. An event that arrives on a connection that is followed all along was made no later than now,
// and not much earlier than the event before it: a timestamp outside of that range shows that a clock was stepped, and
// counts as now. Now is safe for both kinds: a purge invalidates more copies than it has to, and a server warms up for
// longer. The decisions are tested here with steps of both clocks.
//
// Times are in ms: timestamps in Unix ms of the sender, all others on the caller's clock.
package timestamp

import "ravenwheel/policy"

const (
	// maxPurgeDelay is by how many ms a purge may be older than the event that arrived before it. Purges arrive within
	// 0.4 s. With a longer delay a small step of a clock would be taken for a late purge, and its time for an earlier one:
	// copies from between the two times would count as made after the purge.
	maxPurgeDelay = 2000
	// maxStartDelay is by how many ms a server's start may be older than the event that arrived before it. Lists arrive some
	// seconds late, and up to 10 s more while discovery is disturbed. With a longer delay a step of a clock would be taken for
	// a late list, and a server that begins to warm up for one that is half warm.
	maxStartDelay = 15_000
	// maxInitialDelay is the time in ms from when the initial events are written until a process reads them.
	maxInitialDelay = 10_000
	// maxSkew is how far, in ms, other clocks may be ahead of this one without a step.
	maxSkew = 500
	// maxStarts bounds the servers whose starts are remembered.
	maxStarts = 1 << 16
)

// Translator translates the timestamps of one source. It is not safe for concurrent use. See New.
type Translator struct {
	lastEvent float64 // when the source was heard last, in ms of the caller's clock
	offset    float64 // ms to add to a timestamp of the source for a time of the caller's clock
	starts    map[policy.ServerID]serverStart
}

// serverStart is the serverStart of a server, as the source sent it and as it was translated first. A translation must not change
// after a step, or a server that was started once would count as started again.
type serverStart struct{ timestamp, translated float64 }

// New returns a translator for a source that is followed from now on.
func New(now float64) *Translator {
	return &Translator{lastEvent: now, starts: map[policy.ServerID]serverStart{}}
}

// Heartbeat notes that the source was heard at now, after the timestamps of that event have been translated.
func (t *Translator) Heartbeat(now float64) { t.lastEvent = max(t.lastEvent, now) }

// Calibrate estimates how far the clocks are apart. newest is the timestamp of the newest purge among the initial events, which
// hold the purges of the last span ms.
func (t *Translator) Calibrate(now, newest, span float64) {
	if !t.plausible(now, newest, now-span-maxInitialDelay) {
		t.offset = now - newest
	}
}

// InitialPurge translates the timestamp of a purge among the initial events.
func (t *Translator) InitialPurge(now, timestamp float64) float64 {
	return min(now, timestamp+t.offset)
}

// Purge translates the timestamp of a purge that arrives at now. As purges arrive soon, it shows how far the clocks are
// apart.
func (t *Translator) Purge(now, timestamp float64) float64 {
	if !t.plausible(now, timestamp, t.lastEvent-maxPurgeDelay) {
		t.offset = now - timestamp
	}
	return min(now, timestamp+t.offset)
}

// plausible reports whether a timestamp, translated with the present offset, is in the range from oldest to now and maxSkew.
func (t *Translator) plausible(now, timestamp, oldest float64) bool {
	at := timestamp + t.offset
	return at <= now+maxSkew && at >= oldest
}

// SnapshotStart translates the timestamp of a server's start in a complete list, which may be of any age. 0, in and out:
// the server was started long ago.
func (t *Translator) SnapshotStart(now float64, id policy.ServerID, timestamp float64) float64 {
	return t.translateStart(now, id, timestamp, 0)
}

// Start translates the timestamp of a server's start that arrives at now as a change. 0, in and out: the server was
// started long ago.
func (t *Translator) Start(now float64, id policy.ServerID, timestamp float64) float64 {
	return t.translateStart(now, id, timestamp, t.lastEvent-maxStartDelay)
}

func (t *Translator) translateStart(now float64, id policy.ServerID, timestamp, oldest float64) float64 {
	if timestamp <= 0 {
		return 0
	}
	if s, known := t.starts[id]; known && s.timestamp == timestamp {
		return s.translated
	}
	translated := min(now, timestamp+t.offset)
	if translated < oldest {
		translated = now
	}
	if len(t.starts) >= maxStarts {
		clear(t.starts) // nearly all are of servers that are gone
	}
	t.starts[id] = serverStart{timestamp, translated}
	return translated
}
