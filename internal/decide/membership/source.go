package membership

import (
	"errors"
	"fmt"

	"ravenwheel/policy"
)

// source is a configured source and what was received from it.
type source struct {
	Source
	received      bool   // at least one list was accepted
	generation    uint64 // of the last list that was accepted
	minGeneration uint64 // for the first list: the generation in use before a restart
	lastEventAt   float64
	silent        bool
	listed        map[policy.CacheID]bool
}

// sourceEntry is the entry of one server in the list of one source, as the table uses it.
type sourceEntry struct {
	Entry
	reported      Entry // as the source sent it; Entry.Started may be the table's own estimate
	warmUpOnReady bool  // the server warms up from when it next becomes ready
	wanted        bool  // the state is not Gone
}

// list is a snapshot or a delta of one source.
type list struct {
	source     int
	generation uint64
	entries    []Entry
	complete   bool // a snapshot: servers that it omits are no longer listed
}

// ErrUnknownSource is the cause of a rejected list whose source is not in Settings.Sources.
var ErrUnknownSource = errors.New("unknown source")

// StaleGenerationError is the cause of a rejected list whose generation is not newer than the last one accepted.
type StaleGenerationError struct {
	Generation, Last uint64
}

// Error implements error.
func (e StaleGenerationError) Error() string {
	return fmt.Sprintf("generation %d is not above %d", e.Generation, e.Last)
}

// DuplicateServerError is the cause of a rejected snapshot that lists a server twice.
type DuplicateServerError struct{ ID policy.CacheID }

// Error implements error.
func (e DuplicateServerError) Error() string { return fmt.Sprintf("server %d is listed twice", e.ID) }

// applyList records the entries of a list, or rejects it as a whole. The phases change in reconcile.
func (t *Table) applyList(l list) {
	listed := make(map[policy.CacheID]bool, len(l.entries))
	if err := t.checkList(l, listed); err != nil {
		t.emit(Rejected{Source: l.source, Generation: l.generation, Err: err})
		return
	}
	t.heartbeat(l.source)
	src := t.sources[l.source]
	isFirstList := !src.received
	src.received, src.generation = true, l.generation
	for _, e := range l.entries {
		t.addEntry(l.source, e, isFirstList)
	}
	if !l.complete {
		return
	}
	for id := range src.listed {
		if !listed[id] {
			t.dropEntry(l.source, id)
		}
	}
}

// checkList decides whether a list is accepted, and adds the servers that it lists to listed. A generation that is not newer
// is stale: applying it would bring back servers that are draining by now.
func (t *Table) checkList(l list, listed map[policy.CacheID]bool) error {
	if !t.knownSource(l.source) {
		return ErrUnknownSource
	}
	src := t.sources[l.source]
	if src.received && l.generation <= src.generation || l.generation < src.minGeneration {
		return StaleGenerationError{Generation: l.generation, Last: max(src.generation, src.minGeneration)}
	}
	for _, e := range l.entries {
		if listed[e.ID] && l.complete {
			return DuplicateServerError{ID: e.ID}
		}
		listed[e.ID] = true
	}
	return nil
}

func (t *Table) knownSource(i int) bool { return i >= 0 && i < len(t.sources) }

// heartbeat notes that a source is alive.
func (t *Table) heartbeat(i int) {
	if !t.knownSource(i) {
		return
	}
	src := t.sources[i]
	src.lastEventAt = t.now
	if src.silent {
		src.silent = false
		t.emit(SilenceChanged{Source: i, Silent: false})
	}
	if src.SilentAfter > 0 {
		t.schedule(t.now+src.SilentAfter, 0)
	}
}

// addEntry records what a source says of one server. first: it is in the first list of the source.
func (t *Table) addEntry(i int, e Entry, isFirstList bool) {
	s := t.servers[e.ID]
	if s == nil {
		s = t.newServer(e.ID)
	}
	previous := s.entries[i]
	if previous != nil && previous.reported == e {
		return
	}
	entry := &sourceEntry{Entry: e, reported: e, wanted: e.State != policy.Gone}
	if !t.sources[i].Immediate && e.Started == 0 {
		t.estimateStart(s, entry, previous, isFirstList)
	}
	s.entries[i] = entry
	t.sources[i].listed[e.ID] = true
	t.markDirty(e.ID)
}

// estimateStart decides whether a server is warming up, where a list of wanted servers does not say when it was started.
// A server that such a list adds counts as just started, as its full load would overload an empty cache; those in the
// isFirstList list run already. One that returns from a drain counts as restarted.
func (t *Table) estimateStart(s *server, entry, previous *sourceEntry, isFirstList bool) {
	inUseHere := s.phase == Ready || s.phase == Draining && !s.restored
	switch {
	case previous != nil && previous.State == policy.Draining && entry.State == policy.Ready && !entry.Warm:
		entry.warmUpOnReady = true
	case previous != nil && previous.Addr != entry.Addr && !entry.Warm: // another process
		entry.warmUpOnReady = true
	case previous != nil:
		entry.Started, entry.warmUpOnReady = previous.Started, previous.warmUpOnReady
	case entry.Warm || isFirstList && !t.restoreCalled || inUseHere && s.current.Addr == entry.Addr:
		entry.Started = s.current.Started
	case s.phase == None && t.inUseBeforeRestart[entry.ID].Addr == entry.Addr:
		entry.Started = t.inUseBeforeRestart[entry.ID].Started
	default:
		entry.warmUpOnReady = true
	}
}

// dropEntry notes that a source no longer lists a server.
func (t *Table) dropEntry(i int, id policy.CacheID) {
	delete(t.sources[i].listed, id)
	if s := t.servers[id]; s != nil {
		s.entries[i] = nil
		t.markDirty(id)
	}
}

// mergedState is what all sources together, and operators, allow a server.
type mergedState struct {
	factsSource int          // the source whose facts apply; -1: none lists the server
	state       policy.State // the most restrictive one that applies
	stateSource int          // the source that set state; -1: none did
}

// merge decides what a server may do, and which source's facts (address, weight, start) apply. Facts come from the first
// source, by precedence, that wants the server. A drain or a removal binds whichever source reports it, as a server must
// get no new requests once any source said so. While some source still lists a server that another one removed, it
// drains.
func (s *server) merge() mergedState {
	merged := mergedState{factsSource: -1, stateSource: -1}
	leastRestrictive := policy.Gone
	for i, entry := range s.entries {
		if entry == nil {
			continue
		}
		if merged.factsSource < 0 || !s.entries[merged.factsSource].wanted && entry.wanted {
			merged.factsSource = i
		}
		if merged.stateSource < 0 || entry.State > merged.state {
			merged.state, merged.stateSource = entry.State, i
		}
		leastRestrictive = min(leastRestrictive, entry.State)
	}
	switch {
	case merged.factsSource < 0:
		merged.state = policy.Gone
	case merged.state == policy.Gone && leastRestrictive != policy.Gone:
		merged.state = policy.Draining
	case s.manualDrain && merged.state == policy.Ready:
		merged.state, merged.stateSource = policy.Draining, -1
	}
	return merged
}
