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
	lastHeard     float64
	silent        bool
	listed        map[policy.CacheID]bool
}

// statement is what one source says of one server.
type statement struct {
	Entry
	reported    Entry // as the source sent it; Entry.Started may be the table's own estimate
	coldOnReady bool  // the server warms up from when it next becomes ready
	wanted      bool  // the state is not Gone
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

// applyList records the statements of a list, or rejects it as a whole. The phases change in reconcile.
func (t *Table) applyList(l list) {
	listed := make(map[policy.CacheID]bool, len(l.entries))
	if err := t.checkList(l, listed); err != nil {
		t.emit(Rejected{Source: l.source, Generation: l.generation, Err: err})
		return
	}
	t.heartbeat(l.source)
	src := t.sources[l.source]
	first := !src.received
	src.received, src.generation = true, l.generation
	for _, e := range l.entries {
		t.addStatement(l.source, e, first)
	}
	if !l.complete {
		return
	}
	for id := range src.listed {
		if !listed[id] {
			t.dropStatement(l.source, id)
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
	src.lastHeard = t.now
	if src.silent {
		src.silent = false
		t.emit(SilenceChanged{Source: i, Silent: false})
	}
	if src.SilentAfter > 0 {
		t.schedule(t.now+src.SilentAfter, 0)
	}
}

// addStatement records what a source says of one server. first: it is in the first list of the source.
func (t *Table) addStatement(i int, e Entry, first bool) {
	s := t.servers[e.ID]
	if s == nil {
		s = t.newServer(e.ID)
	}
	previous := s.statements[i]
	if previous != nil && previous.reported == e {
		return
	}
	st := &statement{Entry: e, reported: e, wanted: e.State != policy.Gone}
	if !t.sources[i].Immediate && e.Started == 0 {
		t.estimateStart(s, st, previous, first)
	}
	s.statements[i] = st
	t.sources[i].listed[e.ID] = true
	t.markDirty(e.ID)
}

// estimateStart decides whether a server is warming up, where a list of wanted servers does not say when it was started.
// A server that such a list adds counts as just started, as its full load would overload an empty cache; those in the
// first list run already. One that returns from a drain counts as restarted.
func (t *Table) estimateStart(s *server, st, previous *statement, first bool) {
	inUseHere := s.phase == Ready || s.phase == Draining && !s.restored
	switch {
	case previous != nil && previous.State == policy.Draining && st.State == policy.Ready && !st.Warm:
		st.coldOnReady = true
	case previous != nil && previous.Addr != st.Addr && !st.Warm: // another process
		st.coldOnReady = true
	case previous != nil:
		st.Started, st.coldOnReady = previous.Started, previous.coldOnReady
	case st.Warm || first && !t.restored || inUseHere && s.current.Addr == st.Addr:
		st.Started = s.current.Started
	case s.phase == None && t.inUse[st.ID].Addr == st.Addr:
		st.Started = t.inUse[st.ID].Started
	default:
		st.coldOnReady = true
	}
}

// dropStatement notes that a source no longer lists a server.
func (t *Table) dropStatement(i int, id policy.CacheID) {
	delete(t.sources[i].listed, id)
	if s := t.servers[id]; s != nil {
		s.statements[i] = nil
		t.markDirty(id)
	}
}

// verdict is what all sources together, and operators, allow a server.
type verdict struct {
	source  int          // the source whose facts apply; -1: none lists the server
	state   policy.State // the most restrictive one that applies
	decider int          // the source that set state; -1: none did
}

// verdict decides what a server may do. Facts come from the first source, by precedence, that wants the server. A
// drain or a removal binds whichever source reports it, as a server must get no new requests once any source said so.
// While some source still lists a server that another one removed, it drains.
func (s *server) verdict() verdict {
	v := verdict{source: -1, decider: -1}
	least := policy.Gone
	for i, st := range s.statements {
		if st == nil {
			continue
		}
		if v.source < 0 || !s.statements[v.source].wanted && st.wanted {
			v.source = i
		}
		if v.decider < 0 || st.State > v.state {
			v.state, v.decider = st.State, i
		}
		least = min(least, st.State)
	}
	switch {
	case v.source < 0:
		v.state = policy.Gone
	case v.state == policy.Gone && least != policy.Gone:
		v.state = policy.Draining
	case s.manualDrain && v.state == policy.Ready:
		v.state, v.decider = policy.Draining, -1
	}
	return v
}
