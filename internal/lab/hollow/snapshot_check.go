package hollow

import (
	"maps"
	"slices"

	"ravenwheel/internal/decide/distribution"
)

// snapshotContents holds the entries of a snapshot by supersession key. A member of the store that has read its state from disk
// gives entries new sequence numbers. The checker therefore compares only the contents of entries with what was committed, and
// checks that sequence numbers increase.
type snapshotContents map[string]*snapshotEntry

type snapshotEntry struct {
	entry   distribution.Entry
	matched bool // is the same as an entry of the log
}

// readSnapshot collects the entries of a snapshot, and checks that each key occurs once and that sequence numbers increase.
func (c *checker) readSnapshot(p *process, stream int, entries []distribution.Entry) snapshotContents {
	if len(entries) == 0 {
		return nil
	}
	contents := make(snapshotContents, len(entries))
	for i, entry := range entries {
		key := supersessionKey(entry)
		if contents[key] != nil || i > 0 && entries[i-1].Sequence >= entry.Sequence {
			c.violation("%s: stream %d: a snapshot has %s twice or out of order", p.name, stream, describe(entry))
		}
		contents[key] = &snapshotEntry{entry: entry}
	}
	return contents
}

// match reports whether a snapshot has an entry of the log, and marks that entry as matched.
func (s snapshotContents) match(want *logEntry) bool {
	found := s[want.key]
	if found == nil || !want.matches(found.entry) {
		return false
	}
	found.matched = true
	return true
}

// checkAllMatched checks that all entries of a snapshot have been matched.
func (c *checker) checkAllMatched(p *process, stream int, contents snapshotContents) {
	for _, key := range slices.Sorted(maps.Keys(contents)) {
		if found := contents[key]; !found.matched {
			c.violation("%s: stream %d: a snapshot has an entry that was never committed: %s", p.name, stream, describe(found.entry))
		}
	}
}

// checkSnapshot checks a snapshot that a process's subscriber installs.
func (c *checker) checkSnapshot(p *process, stream int, snapshot distribution.InstallSnapshot) {
	c.sim.trace.record(tracedCall{kind: traceApplied, detail: stream, id: p.id, value: float64(snapshot.Through)})
	log, next := c.sim.log.streams[stream], 0
	contents := c.readSnapshot(p, stream, snapshot.Entries)
	watermark := max(snapshot.Through, snapshot.Watermark.Sequence)
	for ; next < len(log) && log[next].streamEntry.Sequence <= snapshot.Through; next++ {
		if entry := log[next]; !contents.match(entry) && entry.inEffect(watermark, snapshot.Watermark.At) {
			c.violation("%s: stream %d: entry %d is missing in the snapshot through %d",
				p.name, stream, entry.streamEntry.Sequence, snapshot.Through)
		}
	}
	c.checkAllMatched(p, stream, contents)
	if next < p.applied[stream] {
		c.violation("%s: stream %d: a snapshot through entry %d is older than what has been applied", p.name, stream, snapshot.Through)
	}
	c.advance(p, stream, snapshot.Through)
	c.resolveOmitted(p, stream, snapshot.Through)
}
