// Package store keeps configuration, signing keys, revocations, spent token ids and facts of membership in a small
// replicated log (hashicorp/raft). What the log adds up to is decide/storestate's to say, and what is tried again
// decide/retry's. One member alone in memory needs no log and no socket; several speak mutual TLS, and nobody else is
// heard. It is never on the path of a platform's request.
package store

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	mathrand "math/rand/v2"
	"net"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"ravenwheel/internal/clock"
	"ravenwheel/internal/decide/retry"
	"ravenwheel/internal/decide/storestate"
	"ravenwheel/internal/transient"
)

// What a change can meet. ErrUnavailable: it surely did not happen. ErrUnknown, which is an ErrUnavailable too: it may
// have, or may still, so that what was to be spent counts as spent.
var (
	ErrSpent       = errors.New("store: already spent")
	ErrConflict    = errors.New("store: the configuration has another revision by now")
	ErrStale       = errors.New("store: an older or other list")
	ErrInvalid     = errors.New("store: a change that can't be applied")
	ErrUnavailable = errors.New("store: no quorum")
	ErrUnknown     = fmt.Errorf("%w, and what became of the change is not known", ErrUnavailable)
)

// Key is a signing key: its algorithm is pinned with it.
type Key = storestate.Key

// Member is one of the cluster.
type Member struct {
	Name string `json:"name"`
	Addr string `json:"addr"`
}

// Options open a store.
type Options struct {
	Self     Member   // zero: alone and in memory
	Peers    []Member // of a new cluster, Self among them
	Join     string   // the address of a member to join, in place of Peers
	Dir      string   // of the log; empty: in memory
	Identity *Identity
	Timeout  time.Duration
	Fast     bool // elections within a fraction of a second, for members near one another
	// Snapshot: entries between snapshots, and how many are left behind one; 0: raft's own.
	Snapshot, Trailing uint64
	Clock              *clock.Clock
	Dial               func(addr string, wait time.Duration) (net.Conn, error) // nil: TCP
	// Facts is told of every list, drain and purge: those a snapshot holds, and each change as this member applies it,
	// from before the log is first read. It must return soon and not call the store. nil: nobody asks.
	Facts func(storestate.Change)
}

func (o Options) dialer() func(string, time.Duration) (net.Conn, error) {
	if o.Dial != nil {
		return o.Dial
	}
	return func(addr string, wait time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", addr, wait) }
}

// Store is one member.
type Store struct {
	opt     Options
	fsm     *fsm
	raft    *raft.Raft // nil: alone and in memory, where a log would serve nobody
	wire    *wire
	closed  atomic.Bool
	closers []io.Closer

	mu     sync.Mutex
	budget *retry.Budget
}

// retries: a change is tried for as long as its time-out lasts, and callers together add at most a fifth to what a store
// in trouble gets, beyond what was saved up.
var retries = retry.Settings{Attempts: 8, Base: 20, Most: 500, Budget: 50, Earn: 0.2}

// Open starts a member.
func Open(o Options) (*Store, error) {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	o.Dial = o.dialer()
	s := &Store{opt: o, fsm: &fsm{state: storestate.New(), facts: o.Facts}, budget: retry.New(retries)}
	if o.Self == (Member{}) {
		return s, nil
	}
	if err := s.open(); err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

func (s *Store) open() error {
	if s.opt.Identity == nil || s.opt.Identity.Name != s.opt.Self.Name {
		return fmt.Errorf("member %q needs an identity of that name", s.opt.Self.Name)
	}
	conf := raft.DefaultConfig()
	conf.Logger = hclog.NewNullLogger()
	conf.LocalID = raft.ServerID(s.opt.Self.Name)
	if s.opt.Fast {
		conf.HeartbeatTimeout, conf.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		conf.LeaderLeaseTimeout, conf.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
		conf.SnapshotInterval = 50 * time.Millisecond
	}
	if s.opt.Snapshot > 0 {
		conf.SnapshotThreshold, conf.TrailingLogs = s.opt.Snapshot, s.opt.Trailing
	}
	mem := raft.NewInmemStore()
	var (
		logs   raft.LogStore      = mem
		stable raft.StableStore   = mem
		snaps  raft.SnapshotStore = raft.NewInmemSnapshotStore()
	)
	if s.opt.Dir != "" {
		bolt, err := boltdb.New(boltdb.Options{Path: filepath.Join(s.opt.Dir, "raft.db"), BoltOptions: boltOptions()})
		if err != nil {
			return fmt.Errorf("%s: %w", s.opt.Dir, err)
		}
		s.closers = append(s.closers, bolt)
		logs, stable = bolt, bolt
		if snaps, err = raft.NewFileSnapshotStore(s.opt.Dir, 2, io.Discard); err != nil {
			return err
		}
	}
	ln, err := net.Listen("tcp", s.opt.Self.Addr)
	if err != nil {
		return err
	}
	ln = transient.Listener(ln)
	s.wire = &wire{
		ln: ln, id: s.opt.Identity, dial: s.opt.Dial, serve: s.serve, wait: s.opt.Timeout, stream: make(chan net.Conn),
		most: mostConns, done: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	s.closers = append(s.closers, s.wire)
	trans := raft.NewNetworkTransport(s.wire, 3, s.opt.Timeout, io.Discard)
	s.closers = append(s.closers, trans)
	known, err := raft.HasExistingState(logs, stable, snaps)
	if err != nil {
		return err
	}
	if !known && s.opt.Join == "" {
		var peers raft.Configuration
		for _, p := range s.opt.Peers {
			peers.Servers = append(peers.Servers, raft.Server{ID: raft.ServerID(p.Name), Address: raft.ServerAddress(p.Addr)})
		}
		if err := raft.BootstrapCluster(conf, logs, stable, snaps, trans, peers); err != nil {
			return err
		}
	}
	if s.raft, err = raft.NewRaft(conf, s.fsm, logs, stable, snaps, trans); err != nil {
		return err
	}
	go s.wire.run()
	if !known && s.opt.Join != "" {
		return s.join()
	}
	return nil
}

// join asks the cluster to take this member in: as one that learns first, then as one that votes.
func (s *Store) join() error {
	addr := s.opt.Join
	var err error
	for range 10 {
		var r reply
		r, _, err = s.wire.call(addr, request{Call: callJoin, Name: s.opt.Self.Name, Addr: s.opt.Self.Addr}, 10*s.opt.Timeout)
		switch {
		case err == nil && r.Err == "":
			return nil
		case err == nil && r.Leader != "":
			addr = r.Leader
		case err == nil:
			err = errors.New(r.Err)
		}
		s.sleep(100)
	}
	return fmt.Errorf("joining at %s: %w", s.opt.Join, err)
}

func (s *Store) sleep(ms float64) {
	done := make(chan struct{})
	s.opt.Clock.After(ms, func() { close(done) })
	<-done
}

// Close ends this member. One that leads hands that on first.
func (s *Store) Close() error {
	var err error
	if s.closed.Swap(true) {
		return nil
	}
	if s.raft != nil {
		if s.raft.State() == raft.Leader && s.voters() > 1 {
			_ = s.raft.LeadershipTransfer().Error()
		}
		err = s.raft.Shutdown().Error()
	}
	return errors.Join(err, s.release())
}

// Kill ends this member as a crash does: nothing is handed on.
func (s *Store) Kill() {
	s.closed.Store(true)
	if s.wire != nil {
		_ = s.wire.Close()
	}
	if s.raft != nil {
		_ = s.raft.Shutdown().Error()
	}
	_ = s.release()
}

func (s *Store) release() error {
	var err error
	for i := len(s.closers) - 1; i >= 0; i-- {
		err = errors.Join(err, s.closers[i].Close())
	}
	s.closers = nil
	return err
}

func (s *Store) voters() (n int) {
	f := s.raft.GetConfiguration()
	if f.Error() != nil {
		return 0
	}
	for _, x := range f.Configuration().Servers {
		if x.Suffrage == raft.Voter {
			n++
		}
	}
	return n
}

// Leader tells whether this member leads.
func (s *Store) Leader() bool {
	if s.raft == nil {
		return !s.closed.Load()
	}
	return s.raft.State() == raft.Leader
}

// Spend marks a token id as used until its token is void. It returns ErrSpent for a replay.
func (s *Store) Spend(jti string, until float64) error {
	_, err := s.Do(storestate.Change{Kind: storestate.Spend, Name: jti, Until: until})
	return err
}

// PutKey adds or replaces a signing key.
func (s *Store) PutKey(kid string, k Key) error {
	_, err := s.Do(storestate.Change{Kind: storestate.PutKey, Name: kid, Key: &k})
	return err
}

// DropKey removes a signing key: what it signed is no longer accepted.
func (s *Store) DropKey(kid string) error {
	_, err := s.Do(storestate.Change{Kind: storestate.DropKey, Name: kid})
	return err
}

// Revoke makes a token id void until its token is void anyway.
func (s *Store) Revoke(jti string, until float64) error {
	_, err := s.Do(storestate.Change{Kind: storestate.Revoke, Name: jti, Until: until})
	return err
}

// SetConfig puts a text in place of a revision, and returns the new one. It returns ErrConflict, and the revision that is
// in force, if that is not the base any more.
func (s *Store) SetConfig(base uint64, text, by string) (uint64, error) {
	r, err := s.Do(storestate.Change{Kind: storestate.SetConfig, Base: base, Text: text, By: by})
	return r.Revision, err
}

// Rollback makes the text of an earlier revision that of a new one.
func (s *Store) Rollback(to uint64, by string) (uint64, error) {
	var base uint64
	var old storestate.Revision
	var found bool
	if err := s.Read(true, func(st *storestate.State) {
		base = st.Revision().Number
		old, found = st.At(to)
	}); err != nil {
		return 0, err
	}
	if !found {
		return base, fmt.Errorf("store: revision %d is not kept", to)
	}
	return s.SetConfig(base, old.Text, by)
}

// Do takes one change through the log, at this member or at the leader, and tries again while that can do no harm. The
// change keeps its id over all attempts, so that one that comes twice counts once; an outcome that stays unknown is
// ErrUnknown, and whoever submits the same thing anew submits another change.
func (s *Store) Do(c storestate.Change) (storestate.Result, error) {
	if c.ID == "" {
		var b [16]byte
		_, _ = rand.Read(b[:])
		c.ID = hex.EncodeToString(b[:])
	}
	c.At = s.opt.Clock.Now()
	raw, err := storestate.Encode(c)
	if err != nil {
		return storestate.Result{}, err
	}
	if s.raft == nil {
		if s.closed.Load() {
			return storestate.Result{}, ErrUnavailable
		}
		return verdict(s.fsm.Apply(&raft.Log{Data: raw}).(storestate.Result))
	}
	end := c.At + clock.Ms(s.opt.Timeout)
	var call retry.Call
	for {
		r, o := s.attempt(raw)
		s.mu.Lock()
		wait, again := s.budget.Ended(&call, o, s.opt.Clock.Now(), end, mathrand.Float64())
		s.mu.Unlock()
		switch {
		case o == retry.Done:
			return verdict(r)
		case again && !s.closed.Load():
			s.sleep(wait)
		case call.Unknown:
			return storestate.Result{}, ErrUnknown
		default:
			return storestate.Result{}, ErrUnavailable
		}
	}
}

func verdict(r storestate.Result) (storestate.Result, error) {
	switch r.Verdict {
	case storestate.OK:
		return r, nil
	case storestate.Spent:
		return r, ErrSpent
	case storestate.Conflict:
		return r, ErrConflict
	case storestate.Stale:
		return r, ErrStale
	}
	return r, ErrInvalid
}

// attempt submits a change once, here or at the leader.
func (s *Store) attempt(raw []byte) (storestate.Result, retry.Outcome) {
	if s.Leader() {
		return s.apply(raw)
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || string(id) == s.opt.Self.Name {
		return storestate.Result{}, retry.Refused
	}
	r, sent, err := s.wire.call(string(addr), request{Call: callApply, Change: raw}, s.opt.Timeout)
	switch {
	case err != nil && !sent:
		return storestate.Result{}, retry.Refused
	case err != nil || r.Err != "" && r.Maybe:
		return storestate.Result{}, retry.Unknown
	case r.Err != "":
		return storestate.Result{}, retry.Refused
	}
	var out storestate.Result
	if calls.Unmarshal(r.Result, &out) != nil {
		return storestate.Result{}, retry.Unknown
	}
	return out, retry.Done
}

// apply submits a change at the leader.
func (s *Store) apply(raw []byte) (storestate.Result, retry.Outcome) {
	f := s.raft.Apply(raw, s.opt.Timeout)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		switch {
		case err == nil:
			if r, ok := f.Response().(storestate.Result); ok {
				return r, retry.Done
			}
			return storestate.Result{}, retry.Unknown
		case errors.Is(err, raft.ErrNotLeader), errors.Is(err, raft.ErrLeadershipTransferInProgress), errors.Is(err, raft.ErrEnqueueTimeout):
			return storestate.Result{}, retry.Refused // it never came into the log
		}
		return storestate.Result{}, retry.Unknown
	case <-time.After(s.opt.Timeout): // Apply's own time-out covers only the way into the log
		return storestate.Result{}, retry.Unknown
	}
}

// Read calls f with the state, which it may not keep. Linear: it holds every change that was acknowledged anywhere before
// the call; else it is what this member knows, which lags by Status' StaleMs at the least.
func (s *Store) Read(linear bool, f func(*storestate.State)) error {
	if linear && s.raft != nil {
		if err := s.catchUp(); err != nil {
			return err
		}
	}
	s.fsm.mu.RLock()
	defer s.fsm.mu.RUnlock()
	f(s.fsm.state)
	return nil
}

// catchUp waits until this member has applied all that the leader had committed when it was asked, and the leader has
// proven by a quorum that it led (the ReadIndex of Ongaro's thesis, section 6.4).
func (s *Store) catchUp() error {
	var index uint64
	if s.Leader() {
		if err := s.raft.Barrier(s.opt.Timeout).Error(); err != nil {
			return ErrUnavailable
		}
		return nil
	}
	addr, id := s.raft.LeaderWithID()
	if addr == "" || string(id) == s.opt.Self.Name {
		return ErrUnavailable
	}
	r, _, err := s.wire.call(string(addr), request{Call: callIndex}, s.opt.Timeout)
	if err != nil || r.Err != "" {
		return ErrUnavailable
	}
	index = r.Index
	for end := s.opt.Clock.Now() + clock.Ms(s.opt.Timeout); s.applied() < index; {
		if s.opt.Clock.Now() >= end {
			return ErrUnavailable
		}
		s.sleep(2)
	}
	return nil
}

// applied is the last entry that the state holds. Raft's AppliedIndex is no guide: it counts what was handed to the
// state machine and may not have been taken in yet, and a linearizable read that trusted it was stale.
func (s *Store) applied() (index uint64) {
	_ = s.Read(false, func(st *storestate.State) { index = st.Applied })
	return index
}

// Key returns a signing key as this member knows it.
func (s *Store) Key(kid string) (k Key, ok bool) {
	_ = s.Read(false, func(st *storestate.State) { k, ok = st.Keys[kid] })
	return k, ok
}

// Revoked tells whether a token id was revoked, as this member knows it.
func (s *Store) Revoked(jti string) (ok bool) {
	_ = s.Read(false, func(st *storestate.State) { _, ok = st.Revoked[jti] })
	return ok
}

// Config is the revision in force, as this member knows it.
func (s *Store) Config() (r storestate.Revision) {
	_ = s.Read(false, func(st *storestate.State) { r = st.Revision() })
	return r
}

// Watch returns a channel on which revisions come as this member learns of them; one that lags gets the newest.
func (s *Store) Watch() <-chan storestate.Revision {
	w := make(chan storestate.Revision, 1)
	s.fsm.mu.Lock()
	defer s.fsm.mu.Unlock()
	s.fsm.watchers = append(s.fsm.watchers, w)
	if now := s.fsm.state.Revision(); now.Number > 0 {
		w <- now
	}
	return w
}

// Held is the number of spent and of revoked token ids kept.
func (s *Store) Held() (spent, revoked int) {
	_ = s.Read(false, func(st *storestate.State) { spent, revoked = len(st.Spent), len(st.Revoked) })
	return spent, revoked
}
