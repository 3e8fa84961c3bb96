package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	mathrand "math/rand/v2"
	"time"

	"github.com/hashicorp/raft"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/decide/storestate"
)

// RedeemToken marks the id of a one-time token as redeemed until the token expires, at a time in Unix ms. It returns
// ErrTokenRedeemed if the id was redeemed before.
func (s *Store) RedeemToken(jti string, expiresAt float64) error {
	_, err := s.Propose(storestate.Change{Kind: storestate.RedeemToken, Name: jti, ExpiresAt: expiresAt})
	return err
}

// PutKey adds or replaces a signing key.
func (s *Store) PutKey(kid string, k Key) error {
	_, err := s.Propose(storestate.Change{Kind: storestate.PutKey, Name: kid, Key: &k})
	return err
}

// DeleteKey removes a signing key. Tokens that it signed are no longer accepted.
func (s *Store) DeleteKey(kid string) error {
	_, err := s.Propose(storestate.Change{Kind: storestate.DeleteKey, Name: kid})
	return err
}

// RevokeToken revokes a token id until its token expires, at a time in Unix ms.
func (s *Store) RevokeToken(jti string, expiresAt float64) error {
	_, err := s.Propose(storestate.Change{Kind: storestate.RevokeToken, Name: jti, ExpiresAt: expiresAt})
	return err
}

// SetConfig makes a text the revision after base, and returns the new revision's number. If base is not the current revision, it
// returns ErrConflict and the number of the current one.
func (s *Store) SetConfig(base uint64, text, author string) (uint64, error) {
	r, err := s.Propose(storestate.Change{Kind: storestate.SetConfig, BaseRevision: base, Text: text, Author: author})
	return r.Revision, err
}

// Rollback makes the text of an earlier revision a new revision, and returns the new revision's number. If the store does not hold
// the earlier revision, Rollback returns ErrNoRevision and the number of the current one.
func (s *Store) Rollback(to uint64, author string) (uint64, error) {
	var base uint64
	var old storestate.Revision
	var found bool
	if err := s.ReadLinearizable(func(st *storestate.State) {
		base = st.Revision().Number
		old, found = st.RevisionByNumber(to)
	}); err != nil {
		return 0, err
	}
	if !found {
		return base, fmt.Errorf("%w: revision %d is not stored", ErrNoRevision, to)
	}
	return s.SetConfig(base, old.Text, author)
}

// Propose commits one change through the log, at this member or through the leader, and retries within Options.Timeout where that
// is safe. The change has the same id in all attempts, so that it is applied only once. A caller that proposes the same content
// again after ErrOutcomeUnknown makes a second change, unless it sets the id of the first. Propose returns the error for the
// result's verdict (ErrTokenRedeemed, ErrConflict, ErrStale or ErrInvalid), ErrUnavailable or ErrOutcomeUnknown.
func (s *Store) Propose(c storestate.Change) (storestate.Result, error) {
	if c.ID == "" {
		c.ID = NewChangeID()
	}
	c.ProposedAt = s.opt.Clock.Now()
	raw, err := storestate.Encode(c)
	if err != nil {
		return storestate.Result{}, err
	}
	if s.raft == nil {
		if s.closed.Load() {
			return storestate.Result{}, ErrUnavailable
		}
		return resultError(s.fsm.Apply(&raft.Log{Data: raw}).(storestate.Result))
	}
	deadline := c.ProposedAt + clock.Ms(s.opt.Timeout)
	var operation retry.Operation
	for {
		r, outcome := s.attempt(raw)
		s.mu.Lock()
		delay, retryAllowed := s.budget.AttemptEnded(&operation, outcome, s.opt.Clock.Now(), deadline, mathrand.Float64())
		s.mu.Unlock()
		switch {
		case outcome == retry.Succeeded:
			return resultError(r)
		case retryAllowed && !s.closed.Load():
			s.sleep(delay)
		case operation.MayHaveRun:
			return storestate.Result{}, ErrOutcomeUnknown
		default:
			return storestate.Result{}, ErrUnavailable
		}
	}
}

// NewChangeID returns a new id for a change.
func NewChangeID() string {
	var b [16]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// resultError returns a result with the error for its verdict.
func resultError(r storestate.Result) (storestate.Result, error) {
	switch r.Verdict {
	case storestate.OK:
		return r, nil
	case storestate.AlreadyRedeemed:
		return r, ErrTokenRedeemed
	case storestate.Conflict:
		return r, ErrConflict
	case storestate.Stale:
		return r, ErrStale
	}
	return r, ErrInvalid
}

// attempt submits an encoded change once, at this member or to the leader. The outcome says whether the change was executed. The
// result is valid only with retry.Succeeded.
func (s *Store) attempt(raw []byte) (storestate.Result, retry.Outcome) {
	if s.IsLeader() {
		return s.applyAsLeader(raw)
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || string(id) == s.opt.Self.Name {
		return storestate.Result{}, retry.NotExecuted
	}
	r, sent, err := s.transport.call(string(addr), request{Operation: opApply, Change: raw}, s.opt.Timeout)
	switch {
	case err != nil && !sent:
		return storestate.Result{}, retry.NotExecuted
	case err != nil || r.Err != "" && r.MayHaveRun:
		return storestate.Result{}, retry.Unknown
	case r.Err != "":
		return storestate.Result{}, retry.NotExecuted
	}
	var result storestate.Result
	if messageDecodeMode.Unmarshal(r.Result, &result) != nil {
		return storestate.Result{}, retry.Unknown
	}
	return result, retry.Succeeded
}

// applyAsLeader submits an encoded change to raft. The time-out of raft's Apply covers only the time until raft accepts the entry
// for its log, so the wait for the entry's commit has its own time-out.
func (s *Store) applyAsLeader(raw []byte) (storestate.Result, retry.Outcome) {
	f := s.raft.Apply(raw, s.opt.Timeout)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		return applyOutcome(f, err)
	case <-time.After(s.opt.Timeout):
		return storestate.Result{}, retry.Unknown
	}
}

// applyOutcome returns the result of an entry that was submitted to raft, and its outcome. err is the future's error.
func applyOutcome(f raft.ApplyFuture, err error) (storestate.Result, retry.Outcome) {
	switch {
	case err == nil:
		if r, ok := f.Response().(storestate.Result); ok {
			return r, retry.Succeeded
		}
		return storestate.Result{}, retry.Unknown
	case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
		return storestate.Result{}, retry.NotExecuted // the entry never reached the log
	}
	return storestate.Result{}, retry.Unknown
}
