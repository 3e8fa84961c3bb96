// Package storestate is the state machine of the replicated store: signing keys, redeemed and revoked token ids, revisions of the
// configuration, server lists, drains and purges. Applying the same log gives the same state on each member: Apply is
// deterministic, takes the time from the changes instead of a clock, and gives a change that is submitted twice under one id one
// effect and one result. The package performs no I/O. Its own tests cover its decisions; the tests of internal/store apply it while
// members fail.
//
// All times are Unix milliseconds.
package storestate

import (
	"fmt"
	"slices"

	"ravenwheel/internal/decide/expiryqueue"
)

const (
	// resultRetention is how many ms the result of a change is stored, to answer the same change when it is submitted again.
	resultRetention = 10 * 60 * 1000
	// maxResults is how many results are stored at most.
	maxResults = 1 << 16
	// maxTimeStep is how many ms a change moves State.Time forward at most. Otherwise a proposer whose clock is years ahead would
	// expire the tokens of all other members.
	maxTimeStep = 60_000
)

// AppliedResult is the stored result of a change.
type AppliedResult struct {
	ID     string  `cbor:"1,keyasint"` // of the change
	At     float64 `cbor:"2,keyasint"` // State.Time after the change
	Result Result  `cbor:"3,keyasint"`
}

// State is the result of applying a log's changes. New makes one; the zero value is not usable. It is not safe for concurrent use.
type State struct {
	Time           float64            `cbor:"1,keyasint"`  // latest ProposedAt of the changes applied, limited by maxTimeStep
	Keys           map[string]Key     `cbor:"2,keyasint"`  // by key id
	RedeemedTokens map[string]float64 `cbor:"3,keyasint"`  // by token id: when the token expires; a reuse before that is refused
	RevokedTokens  map[string]float64 `cbor:"4,keyasint"`  // by token id: when the token expires
	Revisions      []Revision         `cbor:"5,keyasint"`  // of the configuration, oldest first
	Lists          map[string]List    `cbor:"6,keyasint"`  // by name
	Drains         map[string]float64 `cbor:"7,keyasint"`  // by server's name: when the drain began
	Purges         map[string]Purge   `cbor:"8,keyasint"`  // by object, or by "group N"
	Results        []AppliedResult    `cbor:"9,keyasint"`  // oldest first
	AppliedIndex   uint64             `cbor:"10,keyasint"` // log index of the last entry applied
	// FactIndexes holds the log index of the change that set each purge, drain, list and the configuration, by FactKey. Subscribers
	// need it to put these facts into the log's order. A fact has none if it was set before the state stored indexes.
	FactIndexes map[string]uint64 `cbor:"11,keyasint,omitempty"`

	resultsByID map[string]Result // Results by the change's id
	// Queues of expiry times, which are not encoded but rebuilt when a state is decoded.
	redeemedExpiry, revokedExpiry, purgeExpiry expiryqueue.Queue[string]
}

// New returns the state of an empty log.
func New() *State {
	return &State{
		Keys: map[string]Key{}, RedeemedTokens: map[string]float64{}, RevokedTokens: map[string]float64{},
		Lists: map[string]List{}, Drains: map[string]float64{}, Purges: map[string]Purge{},
		FactIndexes: map[string]uint64{}, resultsByID: map[string]Result{},
	}
}

// HasApplied reports whether a change with this id was applied before and its result is still stored.
func (s *State) HasApplied(id string) bool {
	_, known := s.resultsByID[id]
	return known && id != ""
}

// Apply applies a change. A change whose id was applied before has no further effect, and returns the first result.
func (s *State) Apply(c Change) Result {
	if s.HasApplied(c.ID) {
		return s.resultsByID[c.ID]
	}
	if !allFinite(c.ProposedAt, c.ExpiresAt) {
		return Result{Verdict: Invalid}
	}
	s.advanceTime(c.ProposedAt)
	r := s.applyNew(c)
	if c.ID != "" {
		s.storeResult(c.ID, r)
	}
	return r
}

// advanceTime moves the state's time forward to the proposer's, by at most maxTimeStep, and never back.
func (s *State) advanceTime(proposed float64) {
	if s.Time == 0 {
		s.Time = proposed
	}
	s.Time = max(s.Time, min(proposed, s.Time+maxTimeStep))
}

// storeResult stores a result, and deletes the oldest results while there are more than maxResults or they are older than
// resultRetention.
func (s *State) storeResult(id string, r Result) {
	s.Results = append(s.Results, AppliedResult{id, s.Time, r})
	s.resultsByID[id] = r
	for len(s.Results) > maxResults || len(s.Results) > 0 && s.Results[0].At < s.Time-resultRetention {
		delete(s.resultsByID, s.Results[0].ID)
		s.Results = s.Results[1:]
	}
}

func (s *State) applyNew(c Change) Result {
	switch {
	case c.Kind == RedeemToken:
		return s.redeemToken(c)
	case c.Kind == PutKey && c.Key != nil:
		s.Keys[c.Name] = *c.Key
	case c.Kind == DeleteKey:
		delete(s.Keys, c.Name)
	case c.Kind == RevokeToken:
		expireTokens(s.RevokedTokens, &s.revokedExpiry, s.Time)
		setToken(s.RevokedTokens, &s.revokedExpiry, c.Name, c.ExpiresAt)
	case c.Kind == SetConfig:
		return s.setConfig(c)
	case c.Kind == SetList && c.List != nil:
		return s.setList(c.Name, *c.List)
	case c.Kind == StartDrain:
		s.startDrain(c.Name, c.ProposedAt)
	case c.Kind == EndDrain:
		delete(s.Drains, c.Name)
		delete(s.FactIndexes, FactKey(StartDrain, c.Name))
	case c.Kind == AddPurge && c.Purge != nil && allFinite(c.Purge.IssuedAt):
		s.addPurge(*c.Purge, c.ExpiresAt)
	default:
		return Result{Verdict: Invalid}
	}
	return Result{}
}

func (s *State) redeemToken(c Change) Result {
	expireTokens(s.RedeemedTokens, &s.redeemedExpiry, s.Time)
	if _, redeemed := s.RedeemedTokens[c.Name]; redeemed {
		return Result{Verdict: AlreadyRedeemed}
	}
	setToken(s.RedeemedTokens, &s.redeemedExpiry, c.Name, c.ExpiresAt)
	return Result{}
}

func (s *State) setList(name string, l List) Result {
	old, known := s.Lists[name]
	if known && (l.Generation < old.Generation || l.Generation == old.Generation && !slices.Equal(l.Servers, old.Servers)) {
		return Result{Verdict: Stale}
	}
	s.Lists[name] = l
	s.setFactIndex(SetList, name)
	return Result{}
}

// startDrain starts a drain. A drain already in progress keeps its start time.
func (s *State) startDrain(server string, at float64) {
	if _, draining := s.Drains[server]; !draining {
		s.Drains[server] = at
	}
	s.setFactIndex(StartDrain, server)
}

// addPurge merges a purge with an earlier one of the same object or group, of which it takes the later IssuedAt and the later
// ExpiresAt. Then it deletes the purges that have expired.
func (s *State) addPurge(p Purge, expiresAt float64) {
	name := p.Object
	if name == "" {
		name = fmt.Sprint("group ", p.Group)
	}
	old, known := s.Purges[name]
	p.IssuedAt, p.ExpiresAt = max(p.IssuedAt, old.IssuedAt), max(expiresAt, old.ExpiresAt)
	s.Purges[name] = p
	s.setFactIndex(AddPurge, name)
	s.purgeExpiry.Set(name, p.ExpiresAt, old.ExpiresAt, known) // a purge's expiry never moves back, so the queue needs no rebuild
	s.expirePurges()
}

// setFactIndex records the log index of the change being applied as the index of the fact that it sets; see FactKey. A single
// member in memory has no log, and records no indexes.
func (s *State) setFactIndex(kind Kind, name string) {
	if s.AppliedIndex > 0 {
		s.FactIndexes[FactKey(kind, name)] = s.AppliedIndex
	}
}
