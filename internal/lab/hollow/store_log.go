package hollow

import (
	"bytes"
	"fmt"
	"math/rand/v2"

	"ravenwheel/internal/decide/distribution"
)

// Indices of the distribution's streams in arrays.
const (
	purgeStream  = 0
	changeStream = 1
	streamCount  = 2
)

// streams holds the distribution's names of the streams.
var streams = [streamCount]distribution.Stream{distribution.Purges, distribution.Configuration}

// logEntry is an entry of the store's log.
type logEntry struct {
	key           string  // see supersessionKey
	committedAt   float64 // virtual ms
	stream        int
	streamEntry   distribution.Entry // the entry as the stream carries it
	encodedChange []byte             // the entry as the store's log has it
	// merged is streamEntry with the latest times of all entries that it supersedes (for a drain, with the earliest EffectiveAt). A
	// distributor that merges entries may send any time between those of streamEntry and those of merged.
	merged         distribution.Entry
	supersededBy   uint64  // sequence number of the first later entry that replaces this one; 0: none yet
	maxLatencyMs   float32 // at the slowest process that was connectable throughout
	slowestProcess int32   // id of that process
}

// matches reports whether a received entry is this one. The times of the received entry may be those of superseded entries.
func (e *logEntry) matches(got distribution.Entry) bool {
	want := e.streamEntry
	return got.Kind == want.Kind && got.Name == want.Name && got.Group == want.Group && got.Version == want.Version &&
		between(got.EffectiveAt, want.EffectiveAt, e.merged.EffectiveAt) &&
		between(got.ExpiresAt, want.ExpiresAt, e.merged.ExpiresAt) &&
		bytes.Equal(got.Body, want.Body)
}

// between reports whether v is in the range from a to b, or from b to a.
func between(v, a, b int64) bool { return v >= min(a, b) && v <= max(a, b) }

// inEffect reports whether the entry is part of the state up to a sequence number, at a time in Unix ms: neither superseded nor
// expired, and not the end of a drain.
func (e *logEntry) inEffect(through uint64, now int64) bool {
	if e.supersededBy != 0 && e.supersededBy <= through || e.streamEntry.Kind == distribution.DrainEnded {
		return false
	}
	return e.streamEntry.ExpiresAt == 0 || e.streamEntry.ExpiresAt > now
}

// storeLog is the log of the store, with the changes that wait to be committed and a generator of changes.
type storeLog struct {
	entries             []*logEntry
	streams             [streamCount][]*logEntry // the same entries by stream
	pending             []*logEntry              // proposed, but not committed
	latestByKey         map[string]*logEntry
	objectPurgesByGroup map[int64][]*logEntry // object purges that no later purge of the group supersedes
	lastSequence        uint64

	// State of the generator of changes.
	rand            *rand.Rand
	revisionNumber  uint64
	listGenerations []uint64     // by zone
	drainedServers  map[int]bool // by index of the server over all zones
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

// supersessionKey returns the key of an entry. A later entry with the same key supersedes it.
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

// commit appends an entry. It skips some sequence numbers at random, for entries of the store that no stream carries.
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

// supersedeSameKey marks the previous entry with the same key as superseded, and merges its times into the new entry.
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

// supersedeGroup marks the purges of single objects of a group that a purge of the group supersedes.
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

// snapshot returns the state after a prefix of a stream's log: the entries that are in effect at a time in Unix ms.
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
