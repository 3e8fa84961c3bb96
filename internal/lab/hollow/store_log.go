package hollow

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
)

// The streams of the distribution, as indices of arrays.
const (
	purgeStream  = 0
	changeStream = 1
	streamCount  = 2
)

// streams are the distribution's names of the streams.
var streams = [streamCount]distribution.Stream{distribution.Purges, distribution.Configuration}

// logEntry is an entry of the store's log.
type logEntry struct {
	key           string  // see supersessionKey
	committedAt   float64 // virtual ms
	stream        int
	streamEntry   distribution.Entry // form that the streams carry
	encodedChange []byte             // form in the store's log
	// merged is published with the latest times of all entries that it supersedes (for a drain, with the earliest EffectiveAt). A
	// distributor that joins entries may send any time in between.
	merged         distribution.Entry
	supersededBy   uint64  // sequence number of the first later entry that replaces this one; 0: none yet
	maxLatencyMs   float32 // at the slowest process that was connectable all the time
	slowestProcess int32   // id of that process
}

// matches reports whether a received entry is this one. Its times may be those of entries that it supersedes.
func (e *logEntry) matches(got distribution.Entry) bool {
	want := e.streamEntry
	return got.Kind == want.Kind && got.Name == want.Name && got.Group == want.Group && got.Version == want.Version &&
		between(got.EffectiveAt, want.EffectiveAt, e.merged.EffectiveAt) &&
		between(got.ExpiresAt, want.ExpiresAt, e.merged.ExpiresAt) &&
		bytes.Equal(got.Body, want.Body)
}

func between(v, a, b int64) bool { return v >= min(a, b) && v <= max(a, b) }

// inEffect reports whether an entry is part of the state at a sequence number and a time in Unix ms.
func (e *logEntry) inEffect(through uint64, now int64) bool {
	if e.supersededBy != 0 && e.supersededBy <= through || e.streamEntry.Kind == distribution.DrainEnded {
		return false
	}
	return e.streamEntry.ExpiresAt == 0 || e.streamEntry.ExpiresAt > now
}

// storeLog is the log of the store, with the changes that wait for a leader.
type storeLog struct {
	entries             []*logEntry
	streams             [streamCount][]*logEntry // the same by stream
	pending             []*logEntry              // proposed and not committed
	latestByKey         map[string]*logEntry
	objectPurgesByGroup map[int64][]*logEntry // those that no later purge of the group supersedes
	lastSequence        uint64

	// State of the generator of changes.
	rand            *rand.Rand
	revisionNumber  uint64
	listGenerations []uint64     // by zone
	drainedServers  map[int]bool // by index over all zones
}

func newStoreLog(sim *simulation) *storeLog {
	return &storeLog{
		latestByKey:         map[string]*logEntry{},
		objectPurgesByGroup: map[int64][]*logEntry{},
		rand:                newRand(sim.scenario.Seed, "changes"),
		listGenerations:     make([]uint64, sim.zones),
		drainedServers:      map[int]bool{},
	}
}

// supersessionKey is what a later entry must have in common with an earlier one to supersede it.
func supersessionKey(entry distribution.Entry) string {
	switch entry.Kind {
	case distribution.PurgeObject:
		return "o" + entry.Name
	case distribution.PurgeGroup:
		return fmt.Sprint("g", entry.Group)
	case distribution.Revision:
		return "r" + entry.Name
	case distribution.List:
		return "l" + entry.Name
	}
	return "d" + entry.Name
}

// commit appends an entry. Some sequence numbers are skipped, as those of store entries that no stream carries.
func (l *storeLog) commit(now float64, committed *logEntry) {
	l.lastSequence += 1 + uint64(l.rand.IntN(2))
	committed.committedAt = now
	committed.streamEntry.Sequence = l.lastSequence
	committed.key = supersessionKey(committed.streamEntry)
	l.supersedeSameKey(committed)
	l.supersedeGroup(committed)
	l.streams[committed.stream] = append(l.streams[committed.stream], committed)
	l.entries = append(l.entries, committed)
}

func (l *storeLog) supersedeSameKey(committed *logEntry) {
	merged := &committed.merged
	*merged = committed.streamEntry
	if previous := l.latestByKey[committed.key]; previous != nil {
		if previous.supersededBy == 0 {
			previous.supersededBy = l.lastSequence
		}
		merged.EffectiveAt = max(committed.streamEntry.EffectiveAt, previous.merged.EffectiveAt)
		merged.ExpiresAt = max(committed.streamEntry.ExpiresAt, previous.merged.ExpiresAt)
		if committed.streamEntry.Kind == distribution.Drain {
			merged.EffectiveAt = min(committed.streamEntry.EffectiveAt, previous.merged.EffectiveAt)
		}
	}
	l.latestByKey[committed.key] = committed
}

// supersedeGroup marks the purges of a group's objects that a purge of the group supersedes.
func (l *storeLog) supersedeGroup(committed *logEntry) {
	group := committed.streamEntry.Group
	switch committed.streamEntry.Kind {
	case distribution.PurgeObject:
		l.objectPurgesByGroup[group] = append(l.objectPurgesByGroup[group], committed)
	case distribution.PurgeGroup:
		var remaining []*logEntry
		for _, purge := range l.objectPurgesByGroup[group] {
			switch {
			case purge.supersededBy != 0:
			case purge.merged.EffectiveAt <= committed.merged.EffectiveAt && purge.merged.ExpiresAt <= committed.merged.ExpiresAt:
				purge.supersededBy = l.lastSequence
			default:
				remaining = append(remaining, purge)
			}
		}
		l.objectPurgesByGroup[group] = remaining
	}
}

// snapshot is the state after a prefix of a stream's log, as a member of the store has it: the entries that are in effect.
func (l *storeLog) snapshot(stream, length int, now int64) []distribution.Entry {
	if length == 0 {
		return nil
	}
	through := l.streams[stream][length-1].streamEntry.Sequence
	var out []distribution.Entry
	for _, committed := range l.streams[stream][:length] {
		if committed.inEffect(through, now) {
			out = append(out, committed.streamEntry)
		}
	}
	return out
}
