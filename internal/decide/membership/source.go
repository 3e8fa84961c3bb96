package membership

import (
	"errors"
	"fmt"
	"slices"

	"ravenwheel/policy"
)

// source is a configured source and what was received from it.
type source struct {
	Source
	received      bool    // at least one list was accepted
	generation    uint64  // of the last list that was accepted
	minGeneration uint64  // the lowest one accepted: that in use before a restart
	lastEventAt   float64 // ms
	silent        bool
	listed        map[policy.ServerID]bool // servers in its list
}

// sourceEntry is the entry of one server in the list of one source, as the table uses it.
type sourceEntry struct {
	Entry
	reported      Entry   // as the source sent it; in Entry, Started may be an estimate of the table
	warmUpOnReady bool    // the server starts warming up when it next becomes ready
	wanted        bool    // the state is not Gone
	omitted       bool    // a later list of the source no longer names the server, which counts as removed
	listedAt      float64 // when the source sent it, ms
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
type DuplicateServerError struct{ ID policy.ServerID }

// Error implements error.
func (e DuplicateServerError) Error() string { return fmt.Sprintf("server %d is listed twice", e.ID) }

// applyList records the entries of a list, or rejects it as a whole. The phases change in reconcile.
func (t *Table) applyList(l list) {
	listed := make(map[policy.ServerID]bool, len(l.entries))
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
			t.omitEntry(l.source, id)
		}
	}
}

// checkList returns an error if a list must be rejected, and adds the servers of the list to listed. A list without a higher
// generation than the last one is stale: applying it would put servers that are draining by now back into use.
func (t *Table) checkList(l list, listed map[policy.ServerID]bool) error {
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

// heartbeat records that something was received from a source.
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

// addEntry records the entry of one server in a source's list. isFirstList is true for the first list of the source.
func (t *Table) addEntry(i int, e Entry, isFirstList bool) {
	s := t.servers[e.ID]
	if s == nil {
		s = t.newServer(e.ID)
	}
	previous := s.entries[i]
	if previous != nil && !previous.omitted && previous.reported == e {
		return
	}
	entry := &sourceEntry{Entry: e, reported: e, wanted: e.State != policy.Gone, listedAt: t.now}
	if !t.sources[i].Immediate && e.Started == 0 {
		t.estimateStart(s, entry, previous, isFirstList)
	}
	s.entries[i] = entry
	t.sources[i].listed[e.ID] = true
	t.markDirty(e.ID)
}

// estimateStart decides whether a server warms up, if a source that is not immediate does not say when it was started. A
// server that such a source adds counts as just started, as its full load would overload an empty cache. Servers in the
// source's first list are running already. A server that is ready again after a drain counts as restarted.
func (t *Table) estimateStart(s *server, entry, previous *sourceEntry, isFirstList bool) {
	inUseHere := s.phase == Ready || s.phase == Draining && !s.restored
	wasOmitted, startBefore := false, policy.Time(0)
	if previous != nil && previous.omitted {
		wasOmitted, startBefore, previous = true, previous.Started, nil
	}
	switch {
	case wasOmitted && t.now >= s.since+t.settings.DrainTimeout && !entry.Warm:
		entry.warmUpOnReady = true // without another source that lists the server, it would be gone by now
	case previous != nil && previous.State == policy.Draining && entry.State == policy.Ready && !entry.Warm:
		entry.warmUpOnReady = true
	case previous != nil && previous.Addr != entry.Addr && !entry.Warm: // a new address means another process
		entry.warmUpOnReady = true
	case previous != nil:
		entry.Started, entry.warmUpOnReady = previous.Started, previous.warmUpOnReady
	case entry.Warm || isFirstList && !t.restoreCalled || inUseHere && s.current.Addr == entry.Addr:
		entry.Started = max(s.current.Started, startBefore)
	case s.phase == None && t.inUseBeforeRestart[entry.ID].Addr == entry.Addr:
		entry.Started = t.inUseBeforeRestart[entry.ID].Started
	default:
		entry.warmUpOnReady = true
	}
}

// omitEntry records that a list of a source no longer names a server, which means that the server is removed. While another
// source lists the server, the removal is kept as an entry, since the drain that it starts must not end with that source's word.
// Once no source lists the server, all its entries are deleted.
func (t *Table) omitEntry(i int, id policy.ServerID) {
	delete(t.sources[i].listed, id)
	s := t.servers[id]
	if s == nil {
		return
	}
	t.markDirty(id)
	if entry := s.entries[i]; entry != nil {
		entry.omitted = true
	}
	if !s.isListed() {
		clear(s.entries)
	}
}

// isListed reports whether the list of any source names the server, in whatever state.
func (s *server) isListed() bool {
	return slices.ContainsFunc(s.entries, func(e *sourceEntry) bool { return e != nil && !e.omitted })
}

// latestStart returns the latest start of a server that counts where an entry gives its facts: the entry's, or one that another
// source reports, since a process that was started has an empty cache whoever says so. If the entry says that the server is
// warm, that holds for starts from before the entry.
func (s *server) latestStart(facts *sourceEntry) policy.Time {
	started := facts.Started
	for _, entry := range s.entries {
		if entry == nil || entry.omitted || facts.Warm && toMs(entry.reported.Started) <= facts.listedAt {
			continue
		}
		started = max(started, entry.reported.Started)
	}
	return started
}

// mergedState is the state of a server that results from all sources and from operators' drains.
type mergedState struct {
	factsSource int          // the source whose facts apply; -1: none lists the server
	state       policy.State // the most restrictive state that applies
	stateSource int          // the source that set state; -1: an operator did, or no source lists the server
}

// merge decides which state applies to a server, and which source's facts (address, weight). The facts come from the first source,
// by precedence, that wants the server; for its start see latestStart. A drain or a removal applies whichever source reports it: once any
// source says so, the server must get no new requests. A server that one source has removed, by name or by a list that no
// longer names it, drains while another source still lists it.
func (s *server) merge() mergedState {
	merged := mergedState{factsSource: -1, stateSource: -1}
	leastRestrictive, omittedBy := policy.Gone, -1
	for i, entry := range s.entries {
		if entry == nil {
			continue
		}
		if entry.omitted {
			omittedBy = i
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
	case omittedBy >= 0 && merged.state == policy.Ready:
		merged.state, merged.stateSource = policy.Draining, omittedBy
	case s.manualDrain && merged.state == policy.Ready:
		merged.state, merged.stateSource = policy.Draining, -1
	}
	return merged
}
