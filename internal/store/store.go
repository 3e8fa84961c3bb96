// Package store keeps configuration, signing keys, revocations and spent token ids in a small replicated
// log (hashicorp/raft). One member alone in memory needs no log and no socket; several speak over TCP.
package store

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"path/filepath"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	boltdb "github.com/hashicorp/raft-boltdb/v2"

	"ravenwheel/internal/clock"
)

// What a change can meet. ErrUnavailable: the change did not get through a quorum; it may still do so, so
// that what was to be spent counts as spent.
var (
	ErrSpent       = errors.New("store: already spent")
	ErrUnavailable = errors.New("store: no quorum")
)

// Key is a signing key: its algorithm is pinned with it.
type Key struct {
	Alg  string `json:"alg"`
	Data []byte `json:"key"` // PKIX DER of a public key, or an HMAC secret
}

// Peer is a member: where it speaks raft, and where it takes changes from the others.
type Peer struct {
	Raft  string `json:"raft"`
	Apply string `json:"apply"`
}

// Options open a store.
type Options struct {
	Self    Peer   // zero: one member in memory, without sockets
	Peers   []Peer // all members, Self among them
	Dir     string // of the log; empty: in memory
	Timeout time.Duration
	Fast    bool // elections within a fraction of a second, for members near one another
	Clock   *clock.Clock
}

// Store is one member.
type Store struct {
	opt     Options
	state   *state
	raft    *raft.Raft // nil: alone and in memory, where a log would serve nobody
	closed  atomic.Bool
	ln      net.Listener
	closers []io.Closer
}

// Open starts a member.
func Open(o Options) (*Store, error) {
	if o.Timeout <= 0 {
		o.Timeout = 2 * time.Second
	}
	s := &Store{opt: o, state: newState()}
	if o.Self == (Peer{}) && o.Dir == "" {
		return s, nil
	}
	if err := s.open(); err != nil {
		_ = s.Close()
		return nil, fmt.Errorf("store: %w", err)
	}
	return s, nil
}

func (s *Store) open() error {
	conf := raft.DefaultConfig()
	conf.Logger = hclog.NewNullLogger()
	if s.opt.Fast || s.opt.Self == (Peer{}) {
		conf.HeartbeatTimeout, conf.ElectionTimeout = 150*time.Millisecond, 150*time.Millisecond
		conf.LeaderLeaseTimeout, conf.CommitTimeout = 100*time.Millisecond, 5*time.Millisecond
	}
	var (
		logs   raft.LogStore
		stable raft.StableStore
		snaps  raft.SnapshotStore
		trans  raft.Transport
		peers  raft.Configuration
		err    error
	)
	mem := raft.NewInmemStore()
	logs, stable, snaps = mem, mem, raft.NewInmemSnapshotStore()
	if s.opt.Dir != "" {
		bolt, err := boltdb.NewBoltStore(filepath.Join(s.opt.Dir, "raft.db"))
		if err != nil {
			return err
		}
		s.closers = append(s.closers, bolt)
		logs, stable = bolt, bolt
		if snaps, err = raft.NewFileSnapshotStore(s.opt.Dir, 2, io.Discard); err != nil {
			return err
		}
	}
	if s.opt.Self == (Peer{}) {
		addr, t := raft.NewInmemTransport("")
		conf.LocalID, trans = "self", t
		peers.Servers = []raft.Server{{ID: conf.LocalID, Address: addr}}
	} else {
		// A member's id is where it takes changes: the leader's id is all that a follower needs to know.
		conf.LocalID = raft.ServerID(s.opt.Self.Apply)
		t, err := raft.NewTCPTransport(s.opt.Self.Raft, nil, 3, s.opt.Timeout, io.Discard)
		if err != nil {
			return err
		}
		s.closers, trans = append(s.closers, t), t
		for _, p := range s.opt.Peers {
			peers.Servers = append(peers.Servers, raft.Server{ID: raft.ServerID(p.Apply), Address: raft.ServerAddress(p.Raft)})
		}
		if s.ln, err = net.Listen("tcp", s.opt.Self.Apply); err != nil {
			return err
		}
		s.closers = append(s.closers, s.ln)
	}
	known, err := raft.HasExistingState(logs, stable, snaps)
	if err != nil {
		return err
	}
	if !known {
		if err := raft.BootstrapCluster(conf, logs, stable, snaps, trans, peers); err != nil {
			return err
		}
	}
	if s.raft, err = raft.NewRaft(conf, s.state, logs, stable, snaps, trans); err != nil {
		return err
	}
	if s.ln != nil {
		srv := rpc.NewServer()
		if err := srv.RegisterName("Store", &remote{s}); err != nil {
			return err
		}
		go srv.Accept(s.ln)
	}
	return nil
}

// Close ends this member.
func (s *Store) Close() error {
	var err error
	s.closed.Store(true)
	if s.raft != nil {
		err = s.raft.Shutdown().Error()
	}
	for _, c := range s.closers {
		err = errors.Join(err, c.Close())
	}
	return err
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
	return s.change(change{Op: opSpend, Name: jti, Until: until, Now: s.opt.Clock.Now()})
}

// PutKey adds or replaces a signing key.
func (s *Store) PutKey(kid string, k Key) error {
	return s.change(change{Op: opPutKey, Name: kid, Key: k})
}

// DropKey removes a signing key: what it signed is no longer accepted.
func (s *Store) DropKey(kid string) error { return s.change(change{Op: opDropKey, Name: kid}) }

// Revoke makes a token id void until its token is void anyway.
func (s *Store) Revoke(jti string, until float64) error {
	return s.change(change{Op: opRevoke, Name: jti, Until: until, Now: s.opt.Clock.Now()})
}

// SetConfig sets a value of the configuration.
func (s *Store) SetConfig(name, value string) error {
	return s.change(change{Op: opConfig, Name: name, Value: value})
}

// Key returns a signing key as this member knows it.
func (s *Store) Key(kid string) (Key, bool) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	k, ok := s.state.Keys[kid]
	return k, ok
}

// Revoked tells whether a token id was revoked.
func (s *Store) Revoked(jti string) bool {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	_, ok := s.state.Revoked[jti]
	return ok
}

// Config returns a value of the configuration.
func (s *Store) Config(name string) (string, bool) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	v, ok := s.state.Config[name]
	return v, ok
}

// Held is the number of spent and of revoked token ids kept.
func (s *Store) Held() (spent, revoked int) {
	s.state.mu.RLock()
	defer s.state.mu.RUnlock()
	return len(s.state.Spent), len(s.state.Revoked)
}

// change takes one change through the log, at this member or at the leader.
func (s *Store) change(c change) error {
	raw, err := json.Marshal(c)
	if err != nil {
		return err
	}
	switch {
	case s.raft == nil && s.closed.Load():
		return ErrUnavailable
	case s.raft == nil:
		err, _ := s.state.Apply(&raft.Log{Data: raw}).(error)
		return err
	case s.Leader():
		return s.apply(raw)
	}
	_, leader := s.raft.LeaderWithID()
	if leader == "" || string(leader) == s.opt.Self.Apply {
		return ErrUnavailable
	}
	nc, err := net.DialTimeout("tcp", string(leader), s.opt.Timeout)
	if err != nil {
		return ErrUnavailable
	}
	defer nc.Close()
	// Guards against a leader that was cut off: a change that hangs would hold its request for good.
	_ = nc.SetDeadline(time.Now().Add(2 * s.opt.Timeout))
	var spent bool
	if err := rpc.NewClient(nc).Call("Store.Apply", raw, &spent); err != nil {
		return ErrUnavailable
	}
	if spent {
		return ErrSpent
	}
	return nil
}

func (s *Store) apply(raw []byte) error {
	f := s.raft.Apply(raw, s.opt.Timeout)
	done := make(chan error, 1)
	go func() { done <- f.Error() }()
	select {
	case err := <-done:
		if err != nil {
			return ErrUnavailable
		}
	case <-time.After(s.opt.Timeout): // Apply's own time-out covers only the way into the log
		return ErrUnavailable
	}
	if err, ok := f.Response().(error); ok {
		return err
	}
	return nil
}

// remote takes changes from members that do not lead.
type remote struct{ s *Store }

// Apply takes a change if this member leads; spent tells of a replay.
func (r *remote) Apply(raw []byte, spent *bool) error {
	if !r.s.Leader() {
		return ErrUnavailable
	}
	err := r.s.apply(raw)
	if *spent = errors.Is(err, ErrSpent); *spent {
		return nil
	}
	return err
}
