// Package timestamp reads the times that other machines stamp on what they tell: when an object was purged, when a server was
// started. A stamp is a reading of a wall clock, and wall clocks are stepped, this machine's as well as theirs. What is heard
// on a watch that is followed all along is no newer than now, and not much older than the word before it: a stamp outside of
// that tells of a step, and counts as now. Now is the safe side of both: a purge shuts out more copies than it has to, and a
// server counts as cold for longer. Its decisions are tested here.
package timestamp

import "ravenwheel/policy"

const (
	// purgeLag: so many ms before the word before it a purge may have been made. Purges are told within 0.4 s. Longer takes a small
	// step for a delay, and a copy from before the purge for a newer one.
	purgeLag = 2000
	// startLag: the same of a server's start. Lists run some seconds late, and up to 10 s more while they are disturbed. Longer
	// takes a step for a delay, and a cold server for one that is half warm.
	startLag = 15_000
	// knownLag: so many ms may pass from when a process is told what is known to when it reads it.
	knownLag = 10_000
	// early: other clocks may be so many ms ahead of this one without a step.
	early = 500
	// mostStarts bounds the servers whose starts are remembered.
	mostStarts = 1 << 16
)

// Translator reads the stamps of one source. Times are in ms, on the clock of its caller; stamps are in Unix ms.
type Translator struct {
	word   float64 // when the source was heard last
	ahead  float64 // what a stamp lacks for the time on this machine's clock
	starts map[policy.CacheID]start
}

// start is one server's, as it was stamped and as it was read. Guards against a stamp that is read anew after a step: a server
// that was started once would count as started again.
type start struct{ stamp, at float64 }

// New returns a reader for a source that is followed from now on.
func New(now float64) *Translator { return &Translator{word: now, starts: map[policy.CacheID]start{}} }

// Heartbeat notes that the source was heard now. It comes after the stamps of that word were read.
func (r *Translator) Heartbeat(now float64) { r.word = max(r.word, now) }

// Calibrate takes from the newest purge that a process is told of at its start how far the clocks are apart: the purges of the
// last span of so many ms are told again.
func (r *Translator) Calibrate(now, newest, span float64) {
	if r.apart(now, newest, now-span-knownLag) {
		r.ahead = now - newest
	}
}

// InitialPurge reads the stamp of a purge that was told at the start.
func (r *Translator) InitialPurge(now, stamp float64) float64 { return min(now, stamp+r.ahead) }

// Purge reads the stamp of a purge that is heard now. As purges are told soon, it shows how far the clocks are apart.
func (r *Translator) Purge(now, stamp float64) float64 {
	if r.apart(now, stamp, r.word-purgeLag) {
		r.ahead = now - stamp
	}
	return min(now, stamp+r.ahead)
}

func (r *Translator) apart(now, stamp, oldest float64) bool {
	at := stamp + r.ahead
	return at > now+early || at < oldest
}

// SnapshotStart reads the stamp of a server's start in a whole list, which may be of any age. 0: long ago.
func (r *Translator) SnapshotStart(now float64, id policy.CacheID, stamp float64) float64 {
	return r.start(now, id, stamp, 0)
}

// Start reads the stamp of a server's start that is heard now as a change. 0: long ago.
func (r *Translator) Start(now float64, id policy.CacheID, stamp float64) float64 {
	return r.start(now, id, stamp, r.word-startLag)
}

func (r *Translator) start(now float64, id policy.CacheID, stamp, oldest float64) float64 {
	if stamp <= 0 {
		return 0
	}
	if s, known := r.starts[id]; known && s.stamp == stamp {
		return s.at
	}
	at := min(now, stamp+r.ahead)
	if at < oldest {
		at = now
	}
	if len(r.starts) >= mostStarts {
		clear(r.starts) // of servers that are gone, nearly all
	}
	r.starts[id] = start{stamp, at}
	return at
}
